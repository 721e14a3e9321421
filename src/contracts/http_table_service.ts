import type { ResultAsync } from "neverthrow";
import { Agent } from "undici";
import { httpJsonCall } from "./http_json_call.ts";
import type { HttpJsonError } from "./http_json_error.ts";
import type { TableError } from "./table_error.ts";
import { TableOutcome } from "./table_outcome.ts";
import { TableRows } from "./table_rows.ts";
import type { TableService } from "./table_service.ts";
import type { TableTransaction } from "./table_transaction.ts";

const DEFAULT_TIMEOUT_MS = 1000;
const STATUS_UNAVAILABLE = 503;

function toTableError(err: HttpJsonError): TableError {
  switch (err.kind) {
    case "not_sent":
      return { kind: "unavailable", message: err.message };
    case "status":
      // The contract defines 503 as "nothing was applied".
      return err.status === STATUS_UNAVAILABLE
        ? { kind: "unavailable", message: err.message }
        : { kind: "unknown", message: err.message };
    case "lost":
    case "malformed":
      return { kind: "unknown", message: err.message };
  }
}

/** The table service over HTTP; see section 16 of the design page. */
export class HttpTableService implements TableService {
  readonly #agent = new Agent({ connections: 8, keepAliveTimeout: 4000 });

  /**
   * @param baseUrl - URL of the service without a path
   * @param timeoutMs - longest wait for an answer, in milliseconds
   */
  constructor(
    private readonly baseUrl: string,
    private readonly timeoutMs: number = DEFAULT_TIMEOUT_MS,
  ) {}

  transact(
    transaction: TableTransaction,
    signal: AbortSignal,
  ): ResultAsync<TableOutcome, TableError> {
    return httpJsonCall({
      dispatcher: this.#agent,
      method: "POST",
      url: `${this.baseUrl}/v1/transact`,
      body: transaction,
      answer: TableOutcome,
      timeoutMs: this.timeoutMs,
    }, signal).mapErr(toTableError);
  }

  readRows(
    query: { prefix: string; since: number },
    signal: AbortSignal,
  ): ResultAsync<TableRows, TableError> {
    const params = new URLSearchParams({
      prefix: query.prefix,
      since: String(query.since),
    });
    return httpJsonCall({
      dispatcher: this.#agent,
      method: "GET",
      url: `${this.baseUrl}/v1/rows?${params.toString()}`,
      answer: TableRows,
      timeoutMs: this.timeoutMs,
    }, signal).mapErr(toTableError);
  }

  /** Closes idle connections; calls in progress end first. */
  async close(): Promise<void> {
    await this.#agent.close();
  }
}
