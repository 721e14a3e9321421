import { err, ok, type Result } from "neverthrow";
import type { Refusal } from "../base/refusal.ts";
import type { Entry } from "../catalogue/entry.ts";
import type { KeySource } from "../catalogue/key_source.ts";
import type { Service } from "../catalogue/service.ts";
import type { StoreMode } from "../vms/store_mode.ts";
import type { CallerRequest } from "./caller_request.ts";

type CheckedRequest = {
  name: string;
  entry: Entry;
  service: Service;
  key: string | undefined;
};

function refuse(
  code: Refusal["code"],
  message: string,
  data?: Refusal["data"],
): Result<CheckedRequest, Refusal> {
  return err({
    code,
    outcome: "not_run",
    message,
    ...(data === undefined ? {} : { data }),
  });
}

/**
 * Checks what can be decided from the headers alone, before the body is read.
 * The order of the checks determines which refusal is reported.
 *
 * @param req - the caller's request
 * @param opts - the router's mode and region, and look-ups in the catalogue in
 * force
 * @returns entry, service and key of the request, or the refusal
 */
export function checkRequest(
  req: Pick<CallerRequest, "host" | "target" | "headers" | "contentLength">,
  opts: {
    mode: StoreMode;
    region: string;
    match: (
      host: string | undefined,
      path: string,
    ) => { name: string; entry: Entry } | undefined;
    extractKey: (
      source: KeySource,
      request: {
        target: string;
        headers: Record<string, string | string[]>;
      },
    ) => Result<string | undefined, Refusal>;
    findService: (name: string) => Service | undefined;
  },
): Result<CheckedRequest, Refusal> {
  if (opts.mode === "cut_off" || opts.mode === "starting") {
    return refuse(
      "router_not_current",
      "the router does not know the current state",
    );
  }
  const [path = ""] = req.target.split("?", 1);
  const matched = path.startsWith("/") ? opts.match(req.host, path) : undefined;
  const service = matched && opts.findService(matched.entry.service);
  if (matched === undefined || service === undefined) {
    return refuse("unknown_entry", "no entry matches the host and path");
  }
  const { name, entry } = matched;
  if (!entry.homeRegions.includes(opts.region)) {
    // The refusal discloses the home regions and nothing else of the entry.
    return refuse("wrong_region", "the request is served in other regions", {
      homeRegions: entry.homeRegions,
    });
  }
  const { maxBodyBytes } = entry.limits;
  if ((req.contentLength ?? 0) > maxBodyBytes) {
    return refuse(
      "body_too_large",
      `the body is longer than ${maxBodyBytes} bytes`,
      { maxBodyBytes },
    );
  }
  const key = opts.extractKey(entry.keySource, req);
  if (key.isErr()) return err(key.error);
  return ok({ name, entry, service, key: key.value });
}
