import type { TimerService } from "kelpspar-shared";
import type { RequestContext } from "./request_context.ts";

const ENDED_REQUEST_RETENTION_MILLISECONDS = 30_000;

/** The requests that this daemon runs, and those that ended recently. */
export class RequestRegistry {
  readonly #timer: TimerService;
  readonly #running = new Map<string, RequestContext>();
  readonly #ended = new Map<string, EndedRequest>();

  constructor(options: { readonly timer: TimerService }) {
    this.#timer = options.timer;
  }

  /** Number of running requests. */
  get running(): number {
    return this.#running.size;
  }

  /** Adds a request; returns the teardown, to call once when it ended. */
  register(context: RequestContext): () => void {
    this.#running.set(context.requestId, context);
    return () => {
      this.#running.delete(context.requestId);
      const endedAt = this.#timer.now();
      this.#ended.set(context.requestId, { context, endedAt });
      this.#evictExpired(endedAt);
    };
  }

  /**
   * Finds a request of one client account. Another account's request is not
   * found, so that an id discloses nothing to other accounts.
   */
  find(requestId: string, accountId: string): RequestContext | undefined {
    const context = this.findAny(requestId);
    return context?.account.id === accountId ? context : undefined;
  }

  /** Finds a request of any account, for operators. */
  findAny(requestId: string): RequestContext | undefined {
    return this.#running.get(requestId) ??
      this.#ended.get(requestId)?.context;
  }

  /** Number of running requests by client account. */
  runningByAccount(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { account } of this.#running.values()) {
      counts.set(account.id, (counts.get(account.id) ?? 0) + 1);
    }
    return counts;
  }

  #evictExpired(now: number): void {
    for (const [requestId, { endedAt }] of this.#ended) {
      if (now - endedAt < ENDED_REQUEST_RETENTION_MILLISECONDS) return;
      this.#ended.delete(requestId);
    }
  }
}

interface EndedRequest {
  readonly context: RequestContext;
  readonly endedAt: number;
}
