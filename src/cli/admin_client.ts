import { err, ok, type Result } from "neverthrow";
import { type Dispatcher, request } from "undici";
import type { z } from "zod";
import { AdminError } from "../admin/admin_error.ts";
import { ProgressEvent } from "../admin/progress_event.ts";
import type { CliFailure } from "./cli_failure.ts";
import { EXIT_CODE } from "./exit_code.ts";
import { EXIT_CODE_BY_ADMIN_CODE } from "./exit_code_by_admin_code.ts";

// If the store's answer to a change is lost, the router needs up to 10 s to
// find out the outcome.
const HEADERS_TIMEOUT_MS = 30_000;
// The last line of progress is sent about 10 s after the commit at the latest.
const BODY_TIMEOUT_MS = 20_000;

/** Error codes that rule out that the router received the request. */
const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EAI_AGAIN",
  "UND_ERR_CONNECT_TIMEOUT",
]);

type Answer = Dispatcher.ResponseData;

/** Calls the administration interface of one router. */
export class AdminClient {
  readonly #baseUrl: string;
  readonly #credential: string;

  /**
   * @param options - `baseUrl` of the interface and the operator's `credential`
   */
  constructor(options: { baseUrl: string; credential: string }) {
    this.#baseUrl = options.baseUrl.replace(/\/$/, "");
    this.#credential = options.credential;
  }

  /**
   * Reads from a route that changes nothing.
   *
   * @param path - path and query of the route
   * @param schema - what the answer must match
   * @returns the checked answer, or the failure to print
   */
  async get<Schema extends z.ZodType>(
    path: string,
    schema: Schema,
  ): Promise<Result<z.infer<Schema>, CliFailure>> {
    return await this.#readAnswer(
      await this.#call({ method: "GET", path }),
      schema,
    );
  }

  /**
   * Reads from a route that changes nothing and takes its parameters in the
   * body.
   *
   * @param path - path of the route
   * @param body - parameters, sent as JSON
   * @param schema - what the answer must match
   * @returns the checked answer, or the failure to print
   */
  async query<Schema extends z.ZodType>(
    path: string,
    body: unknown,
    schema: Schema,
  ): Promise<Result<z.infer<Schema>, CliFailure>> {
    const answer = await this.#call({ method: "POST", path, body });
    return await this.#readAnswer(answer, schema);
  }

  /**
   * Requests a change.
   *
   * @param method - HTTP method of the route
   * @param path - path of the route
   * @param body - sent as JSON
   * @returns progress events of the committed change, or the failure to print
   */
  async change(
    method: "PUT" | "POST",
    path: string,
    body: unknown,
  ): Promise<Result<AsyncGenerator<ProgressEvent, void>, CliFailure>> {
    const answer = await this.#call({ method, path, body, changes: true });
    return answer.map((res) => readProgress(res.body));
  }

  async #call(
    call: {
      method: "GET" | "PUT" | "POST";
      path: string;
      body?: unknown;
      changes?: true;
    },
  ): Promise<Result<Answer, CliFailure>> {
    const { method, path, body } = call;
    try {
      const res = await request(this.#baseUrl + path, {
        method,
        headers: {
          authorization: `Bearer ${this.#credential}`,
          ...(body === undefined ? {} : { "content-type": "application/json" }),
        },
        body: body === undefined ? null : JSON.stringify(body),
        headersTimeout: HEADERS_TIMEOUT_MS,
        bodyTimeout: BODY_TIMEOUT_MS,
        // A command sends one or two requests: the connection is not kept.
        reset: true,
      });
      if (res.statusCode === 200) return ok(res);
      return err(toFailure(await res.body.text(), res.statusCode));
    } catch (thrown) {
      return err(this.#unreachable(thrown, call.changes === true));
    }
  }

  async #readAnswer<Schema extends z.ZodType>(
    answer: Result<Answer, CliFailure>,
    schema: Schema,
  ): Promise<Result<z.infer<Schema>, CliFailure>> {
    if (answer.isErr()) return err(answer.error);
    try {
      const value: unknown = JSON.parse(await answer.value.body.text());
      const checked = schema.safeParse(value);
      return checked.success
        ? ok(checked.data)
        : err(unexpectedAnswer(checked.error.message));
    } catch (thrown) {
      return err(unexpectedAnswer(String(thrown)));
    }
  }

  #unreachable(thrown: unknown, changes: boolean): CliFailure {
    const code = thrown instanceof Error && "code" in thrown
      ? String(thrown.code)
      : "";
    const reason = code === "" ? String(thrown) : code;
    const mayBeDone = changes && !NOT_SENT_CODES.has(code);
    return {
      exitCode: EXIT_CODE.unavailable,
      code: "unreachable",
      message: `no answer from ${this.#baseUrl} (${reason})` +
        (mayBeDone
          ? "; the change may have been made, see 'fescuerun catalogue history'"
          : ""),
      data: { admin: this.#baseUrl, reason, mayBeDone },
    };
  }
}

function unexpectedAnswer(reason: string): CliFailure {
  return {
    exitCode: EXIT_CODE.unexpected,
    code: "unexpected_answer",
    message: `the answer is not as expected: ${reason}`,
    data: {},
  };
}

function toFailure(text: string, status: number): CliFailure {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    value = undefined;
  }
  const checked = AdminError.safeParse(value);
  if (!checked.success) return unexpectedAnswer(`status ${status}`);
  const { code, message, data } = checked.data;
  return { exitCode: EXIT_CODE_BY_ADMIN_CODE[code], code, message, data };
}

/** Ends early if the connection is lost or a line is not a known event. */
async function* readProgress(
  body: Answer["body"],
): AsyncGenerator<ProgressEvent, void> {
  let partialLine = "";
  try {
    body.setEncoding("utf8");
    for await (const chunk of body as AsyncIterable<string>) {
      const lines = (partialLine + chunk).split("\n");
      partialLine = lines.pop() ?? "";
      for (const line of lines) {
        const event = ProgressEvent.safeParse(JSON.parse(line));
        if (!event.success) return;
        yield event.data;
      }
    }
  } catch {
    return;
  }
}
