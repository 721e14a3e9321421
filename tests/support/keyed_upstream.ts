import { createServer } from "node:http";

type Grant = { from: number; target: number; fence: number };

/**
 * Starts an upstream on a loopback port that answers requests only for keys
 * granted to it.
 *
 * @param workMs - how long it takes for a request, in milliseconds
 * @returns its port, the grants that it has received, and how to close it
 */
export async function startKeyedUpstream(workMs = 0) {
  const grants: Grant[] = [];
  const server = createServer((req, res) => {
    const chunks: Buffer[] = [];
    req.on("data", (chunk: Buffer) => chunks.push(chunk));
    req.on("end", () => {
      if (req.url === "/api/grant") {
        grants.push(JSON.parse(Buffer.concat(chunks).toString()) as Grant);
        res.end();
        return;
      }
      const id = String(req.headers["fescuerun-request-id"]);
      const key = Number(req.headers["fescuerun-shard-key"]);
      const held = grants.some(({ from, target }) =>
        from <= key && key <= target
      );
      if (!held) {
        res.writeHead(421, { "fescuerun-not-executed": "1" }).end();
        return;
      }
      setTimeout(() => {
        res.writeHead(200, {
          "fescuerun-request-id": id,
          "fescuerun-response-signature": `s-${id}`,
          "fescuerun-server-load": "1,0,64,100",
        });
        res.end(`${req.method} ${req.url}`);
      }, workMs);
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const bound = server.address();
  const port = typeof bound === "object" ? bound?.port ?? 0 : 0;
  return { port, grants, close: () => server.close() };
}
