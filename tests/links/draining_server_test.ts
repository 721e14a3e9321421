import assert from "node:assert/strict";
import type { ServerResponse } from "node:http";
import { describe, it } from "node:test";
import { systemClock } from "../../src/base/system_clock.ts";
import { DrainingServer } from "../../src/links/draining_server.ts";
import { RawCaller } from "../support/raw_caller.ts";

const REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

describe("DrainingServer", () => {
  // Guards against accepting a request that arrives on an idle connection at
  // the end of the time for stopping. The request would be aborted when the
  // process is killed.
  it(
    "closes idle connections when the wait ends, busy ones after their response",
    {
      timeout: 5000,
    },
    async () => {
      const pending: ServerResponse[] = [];
      const server = new DrainingServer({
        clock: systemClock,
        http: { keepAliveTimeout: 60_000 },
        handle: (req, res) => {
          if (req.url === "/") res.end("answer");
          else pending.push(res);
        },
        isAuxiliary: () => false,
      });
      const port = await server.listen("127.0.0.1:0");
      const idle = new RawCaller(port).write(REQUEST);
      await idle.until(/answer/);
      const busy = new RawCaller(port).write(
        REQUEST.replace("GET / ", "GET /slow "),
      );
      while (pending.length === 0) {
        await new Promise((resolve) => setImmediate(resolve));
      }
      const endOfWait = new AbortController();
      const drained = server.drain({
        minListenMs: 0,
        signal: endOfWait.signal,
      });
      endOfWait.abort();
      await idle.closed();
      pending[0]?.end("late answer");
      assert.match(await busy.until(/late answer/), /200/);
      await drained;
      await busy.closed();
    },
  );
});
