import type { TimerService } from "kelpspar-shared";
import type { ListeningState } from "../exchange/check_listening.ts";
import type { EndpointEntry } from "../endpoints/endpoint_entry.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { EndpointClient } from "../requests/endpoint_call.ts";

/** An answer that ended before it was whole. */
export interface CutAnswer {
  readonly attemptId: string | undefined;
  readonly fingerprint: string;
  readonly endpoint: EndpointEntry;
  /** Monotonic milliseconds. */
  readonly sentAt: number;
  /** When the answer began; undefined when nothing of it came. */
  readonly answeredAt: number | undefined;
}

/** What a crash watch works with. */
export interface CrashWatchOptions {
  readonly endpoints: Pick<EndpointClient, "check">;
  readonly timer: TimerService;
  readonly log: GatewayLog;
}

/**
 * Tells endpoints that ended under a request from those that only broke an
 * answer off.
 */
export class CrashWatch {
  readonly #options: CrashWatchOptions;
  /** Checks under way, by endpoint. */
  readonly #checks = new Map<string, Promise<ListeningState>>();

  constructor(options: CrashWatchOptions) {
    this.#options = options;
  }

  async cut(cut: CutAnswer): Promise<void> {
    const { timer, log } = this.#options;
    const cutAt = timer.now();
    const { endpoint, answeredAt } = cut;
    const state = await this.#check(endpoint);
    log.info("endpoint checked after a cut answer", {
      attempt: cut.attemptId,
      fingerprint: cut.fingerprint,
      endpoint: endpoint.id,
      bornAt: endpoint.bornAt,
      state,
      sentMillisecondsAgo: Math.round(cutAt - cut.sentAt),
      begunMillisecondsAgo: answeredAt === undefined
        ? undefined
        : Math.round(cutAt - answeredAt),
    });
  }

  /** One check for all answers that are cut together. */
  #check(endpoint: EndpointEntry): Promise<ListeningState> {
    const { id } = endpoint;
    const running = this.#checks.get(id);
    if (running !== undefined) return running;
    const check = this.#options.endpoints.check(endpoint).finally(() =>
      this.#checks.delete(id)
    );
    this.#checks.set(id, check);
    return check;
  }
}
