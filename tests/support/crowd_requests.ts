const LINES = 800;
/** Names that are legal, but unusual or those of members of objects. */
const ODD_NAMES = [
  "__proto__",
  "constructor",
  "hasOwnProperty",
  "toString",
  "!#$%&'*+-.^_`|~",
  "0",
  "4294967294",
  "set-cookie",
  "cookie",
  "connection",
];

/**
 * @param path - path and query
 * @param host - value of the Host header
 * @param lines - further header lines
 * @returns a request without a body
 */
function get(
  path: string,
  host: string,
  lines: readonly string[] = [],
): string {
  return [`GET ${path} HTTP/1.1`, `Host: ${host}`, ...lines, "", ""].join(
    "\r\n",
  );
}

/** Requests that clients within the limits do not send, or not that many. */
export const crowdRequests = {
  get,

  /** A head of some 4 kB, made of very many short header lines. */
  shortLines: (path: string, host: string): string =>
    get(
      path,
      host,
      Array.from({ length: LINES }, (_, n) => `${n.toString(36)}:`),
    ),

  /** A head of odd names, repeated names and numbers. */
  oddLines: (path: string, host: string): string =>
    get(
      path,
      host,
      Array.from({ length: LINES }, (_, n) =>
        n % 2 === 0
          ? `${ODD_NAMES[n / 2 % ODD_NAMES.length] ?? ""}: ${n}`
          : `${n * 5_000_011}: ${n}`),
    ),

  /** The head of a request with a body in chunks. */
  chunkedHead: (path: string, host: string): string =>
    `POST ${path} HTTP/1.1\r\nHost: ${host}\r\n` +
    "Transfer-Encoding: chunked\r\n\r\n",

  /** A body's chunk of one byte. */
  oneByteChunk: "1\r\nx\r\n",
} as const;
