import { isIP } from "node:net";
import { z } from "zod";
import { Name } from "../catalogue/name.ts";

const MAX_PORT = 65535;
const ADDRESS_PATTERN =
  /^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$/;
const Address = z.string().refine((address) => {
  const [, host = "", port = ""] = ADDRESS_PATTERN.exec(address) ?? [];
  return isIP(host.replace(/^\[(.*)\]$/, "$1")) !== 0 &&
    Number(port) <= MAX_PORT;
}, "must be IP:PORT, e.g. 10.0.0.4:8080");
const Url = z.url({ protocol: /^http$/ });
const Ms = z.int().positive();
const Sha256 = z.string().regex(
  /^[0-9a-f]{64}$/,
  "must be 64 lower-case hex digits",
);

/** Settings file of one router. Names that end in `Ms` are milliseconds. */
export const Settings = z.strictObject({
  schema: z.literal(1),
  vm: Name,
  region: Name,
  failureDomain: Name,
  listen: z.strictObject({
    callers: Address,
    peers: Address,
    admin: Address.default("127.0.0.1:8089"),
  }),
  /** Address at which other routers reach the peer listener. */
  advertisePeers: Address.optional(),
  platform: z.strictObject({
    tableService: Url,
    objectStore: Url,
    vmList: Url,
  }),
  peers: z.strictObject({
    /** File with the credential that routers send to each other. */
    credentialFile: z.string().min(1),
  }),
  admin: z.strictObject({
    /** Names of operators, each with the SHA-256 of its credential. */
    operators: z.array(z.strictObject({ name: Name, sha256: Sha256 }))
      .default([]),
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(["debug", "info", "warn", "error"]).default("info"),
  }).prefault({}),
  metrics: z.strictObject({
    /** Address of the StatsD server; without it, no metrics are sent. */
    statsd: Address.optional(),
    prefix: z.string().default("fescuerun."),
  }).prefault({}),
  requests: z.strictObject({
    maxHeaderBytes: z.int().min(1024).max(1048576).default(16384),
    /** Longest time for a caller to send its headers. */
    headersTimeoutMs: Ms.default(5000),
    /** Longest pause between two chunks of a caller's body. */
    bodyPauseMs: Ms.default(5000),
    /** Largest body that is buffered so that the request can be retried. */
    replayBytes: z.int().nonnegative().default(65536),
    /** Requests that may wait for a new assignment. */
    held: z.int().nonnegative().default(1000),
    /** Longest wait for a new assignment. */
    holdMs: Ms.default(5000),
    /** Requests are refused after five consecutive timers later than this. */
    maxTimerDelayMs: Ms.default(60),
  }).prefault({}),
  timing: z.strictObject({
    /** Interval between polls of the table service. */
    storePollMs: Ms.default(500),
    /** How long a router is `current` after it sent a successful poll. */
    storeContactMs: Ms.default(1500),
    /** Interval at which a router without store contact asks its witnesses. */
    witnessAskMs: Ms.default(400),
    /** How long the promise of a witness holds. */
    witnessPromiseMs: Ms.default(1000),
    coordinatorRenewMs: Ms.default(300),
    coordinatorTtlMs: Ms.default(1200),
    /** Longest time that the coordinator holds a renewal open for a change. */
    renewHoldMs: Ms.default(300),
    dispatchTtlMs: Ms.default(2000),
    grantRenewMs: Ms.default(500),
    vmListPollMs: Ms.default(1000),
    healthPollMs: Ms.default(500),
    /** Time from reporting not ready to closing the listener. */
    readinessDelayMs: Ms.default(1000),
  }).prefault({}),
});
export type Settings = z.infer<typeof Settings>;
