import { err, ok, type Result } from "neverthrow";
import { assertNever } from "../base/assert_never.ts";
import { checkKey } from "./check_key.ts";
import type { KeySource } from "./key_source.ts";

type KeyError = "missing_key" | "bad_key";

type KeyRequest = {
  /** Request target: path and query. */
  target: string;
  /**
   * Every value of each header by lower-case name, as in `headersDistinct` of
   * Node.js, which does not merge repeated headers.
   */
  headers: Readonly<Record<string, readonly string[] | undefined>>;
};

/**
 * Throws on bytes that are not UTF-8: replacement characters would make
 * different keys equal.
 */
const strictUtf8 = new TextDecoder("utf-8", { fatal: true, ignoreBOM: true });

/** Node.js reads header bytes as Latin-1; keys are UTF-8 everywhere. */
function decodeHeader(value: string): Result<string, KeyError> {
  try {
    return ok(strictUtf8.decode(Buffer.from(value, "latin1")));
  } catch {
    return err("bad_key");
  }
}

function decodePercent(text: string): Result<string, KeyError> {
  try {
    return ok(text.includes("%") ? decodeURIComponent(text) : text);
  } catch {
    return err("bad_key");
  }
}

/** Refuses a repeated key: the upstream could use another value of it. */
function requireSingle(values: readonly string[]): Result<string, KeyError> {
  const [value] = values;
  if (value === undefined) return err("missing_key");
  return values.length === 1 ? ok(value) : err("bad_key");
}

function fromQuery(query: string, name: string): Result<string, KeyError> {
  const values: string[] = [];
  for (const pair of query.split("&")) {
    const equals = pair.indexOf("=");
    const rawName = equals < 0 ? pair : pair.slice(0, equals);
    // A name that cannot be decoded is not `name`.
    if (decodeQueryPart(rawName).unwrapOr(undefined) !== name) continue;
    values.push(equals < 0 ? "" : pair.slice(equals + 1));
  }
  return requireSingle(values).andThen(decodeQueryPart);
}

/**
 * Decodes a name or value of a query. A plus sign means a space, as in HTML
 * forms.
 */
function decodeQueryPart(text: string): Result<string, KeyError> {
  return decodePercent(text.replaceAll("+", " "));
}

/**
 * Extracts the key of a request.
 *
 * @param source - where requests of the entry carry their key
 * @param req - the request's target and headers
 * @returns the key, or undefined for a source of kind `none`; `missing_key` if
 * the request has no such header, segment or parameter; `bad_key` if the key is
 * empty, repeated, longer than 512 bytes or cannot be decoded
 */
export function extractKey(
  source: KeySource,
  req: KeyRequest,
): Result<string | undefined, KeyError> {
  const queryStart = req.target.indexOf("?");
  switch (source.kind) {
    case "none":
      return ok(undefined);
    case "header": {
      const name = source.name.toLowerCase();
      const values = Object.hasOwn(req.headers, name)
        ? req.headers[name] ?? []
        : [];
      return requireSingle(values).andThen(decodeHeader).andThen(checkKey);
    }
    case "path": {
      const path = queryStart < 0
        ? req.target
        : req.target.slice(0, queryStart);
      const segment = path.split("/")[source.segment + 1];
      return segment === undefined
        ? err("missing_key")
        : decodePercent(segment).andThen(checkKey);
    }
    case "query":
      return queryStart < 0
        ? err("missing_key")
        : fromQuery(req.target.slice(queryStart + 1), source.name)
          .andThen(checkKey);
    default:
      return assertNever(source);
  }
}
