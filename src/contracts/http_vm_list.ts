import type { ResultAsync } from "neverthrow";
import { Agent } from "undici";
import { z } from "zod";
import { httpJsonCall } from "./http_json_call.ts";
import { ListedVm } from "./listed_vm.ts";
import type { VmList } from "./vm_list.ts";

const DEFAULT_TIMEOUT_MS = 1000;
const VmListAnswer = z.object({ vms: z.array(ListedVm) });

/** The platform's VM list over HTTP. */
export class HttpVmList implements VmList {
  readonly #agent = new Agent({ connections: 1, keepAliveTimeout: 4000 });

  /**
   * @param baseUrl - URL of the service without a path
   * @param timeoutMs - longest wait for an answer, in milliseconds
   */
  constructor(
    private readonly baseUrl: string,
    private readonly timeoutMs: number = DEFAULT_TIMEOUT_MS,
  ) {}

  read(
    signal: AbortSignal,
  ): ResultAsync<ListedVm[], { kind: "unavailable"; message: string }> {
    return httpJsonCall({
      dispatcher: this.#agent,
      method: "GET",
      url: `${this.baseUrl}/v1/vms`,
      answer: VmListAnswer,
      timeoutMs: this.timeoutMs,
    }, signal)
      .map((answer) => answer.vms)
      .mapErr(({ message }) => ({ kind: "unavailable" as const, message }));
  }

  /** Closes idle connections; calls in progress end first. */
  async close(): Promise<void> {
    await this.#agent.close();
  }
}
