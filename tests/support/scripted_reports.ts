import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { UpstreamHealth } from "../../src/contracts/upstream_health.ts";
import type { UpstreamReports } from "../../src/contracts/upstream_reports.ts";

/** Health checks whose answers the test scripts, without a network. */
export class ScriptedReports implements UpstreamReports {
  /** `undefined` fails at once; `silent` never answers. */
  answer: UpstreamHealth | undefined | "silent" = { state: "warm", boot: "b1" };
  polls = 0;

  health(): ReturnType<UpstreamReports["health"]> {
    this.polls += 1;
    if (this.answer === "silent") {
      return new ResultAsync(new Promise(() => undefined));
    }
    return this.answer === undefined
      ? errAsync({ kind: "unavailable", message: "scripted" })
      : okAsync(this.answer);
  }

  load(): ReturnType<UpstreamReports["load"]> {
    return okAsync({ load: 0 });
  }
}
