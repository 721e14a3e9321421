/**
 * By a loopback port, the port to connect to in its place, and a file that
 * exists while the link is silent.
 */
type Links = Record<number, { port: number; silentFile: string }>;

/**
 * @param links - where connections to a port lead
 * @returns a module for `node --import` that redirects the connections of the
 * process, so that links of single processes can be faulty. As in a partition,
 * connections that it opens on a silent link are never established.
 */
export function redirectingProgram(links: Links): string {
  const fields = Object.entries(links).map((
    [target, { port, silentFile }],
  ) => [target, { port, silentFile }]);
  const program = `
    import { existsSync } from "node:fs";
    import { Socket } from "node:net";
    const links = ${JSON.stringify(Object.fromEntries(fields))};
    const { connect } = Socket.prototype;
    Socket.prototype.connect = function (...args) {
      const [options] = args.flat();
      const link = links[options.port];
      if (link !== undefined && existsSync(link.silentFile)) {
        this.connecting = true;
        return this;
      }
      options.port = link?.port ?? options.port;
      return connect.apply(this, args);
    };`;
  return `data:text/javascript,${encodeURIComponent(program)}`;
}
