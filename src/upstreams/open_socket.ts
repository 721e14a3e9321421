import type { Socket } from "node:net";
import type { Clock } from "../base/clock.ts";
import { UpstreamSocket } from "./upstream_socket.ts";

const CONNECT_TIMEOUT_MS = 1000;
/** TCP keep-alive detects a dead connection without application requests. */
const TCP_KEEP_ALIVE_DELAY_MS = 1000;
const DEFAULT_PORT = 80;

/**
 * Opens a TCP connection within one second.
 *
 * @param address - `ip:port`
 * @param clock - clock of the timeout
 * @param onDecided - called once when the connection is established or has
 * failed, in which case `err` is defined; not called if the caller destroys the
 * socket before
 * @returns the socket, which the caller must destroy
 */
export function openSocket(
  address: string,
  clock: Clock,
  onDecided: (err: Error | undefined, socket: Socket) => void,
): UpstreamSocket {
  const { hostname, port } = new URL(`http://${address}`);
  const socket = new UpstreamSocket();
  socket.connect({
    host: hostname.replace(/^\[|\]$/g, ""),
    // `URL` omits the default port of the scheme.
    port: port === "" ? DEFAULT_PORT : Number(port),
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MS,
  });
  const decided = new AbortController();
  const onError = (err: Error) => {
    decided.abort();
    onDecided(err, socket);
  };
  socket.once("error", onError);
  socket.once("close", () => decided.abort());
  socket.once("connect", () => {
    decided.abort();
    socket.off("error", onError);
    onDecided(undefined, socket);
  });
  void clock.sleep(CONNECT_TIMEOUT_MS, decided.signal).then(() => {
    if (!decided.signal.aborted) {
      socket.destroy(new Error(`not connected after ${CONNECT_TIMEOUT_MS} ms`));
    }
  });
  return socket;
}
