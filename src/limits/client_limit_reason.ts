/**
 * Why a client was refused or its connection closed: `connections` (closed
 * before its first request, or as one that was idle, to accept another one),
 * `no_connection` (none could be closed instead), `memory` (refused or closed
 * because the memory for clients is in use), `stalled` (closed because memory
 * was needed and the client did not take its response or send its head),
 * `header_lines`, and `unread` (a response stayed unread).
 */
export type ClientLimitReason =
  | "connections"
  | "no_connection"
  | "memory"
  | "stalled"
  | "header_lines"
  | "unread";
