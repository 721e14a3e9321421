/** What the clients of a process may hold, all of them together and each. */
export type ClientLimits = {
  /** Memory for requests and responses of all clients, in bytes. */
  memoryBytes: number;
  /** Connections of callers. */
  connections: number;
  /** Header lines of one request, its request line included. */
  headerLines: number;
  /** How long a response may stay unread without progress, in milliseconds. */
  unreadTimeoutMs: number;
};
