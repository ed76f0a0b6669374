import type { TimerService } from "kelpspar-shared";
import type { RequestContext } from "./request_context.ts";

const KEPT_AFTER_END_MILLISECONDS = 30_000;

/** The requests that this daemon runs, and for a while those that ended. */
export class RequestRegistry {
  readonly #timer: TimerService;
  readonly #requests = new Map<string, RequestContext>();
  #running = 0;

  constructor(options: { readonly timer: TimerService }) {
    this.#timer = options.timer;
  }

  /** How many requests run now. */
  get running(): number {
    return this.#running;
  }

  /** Adds a request; returns what must be called once when it ended. */
  register(context: RequestContext): () => void {
    this.#requests.set(context.requestId, context);
    this.#running++;
    return () => {
      this.#running--;
      this.#timer.registerTimeout(
        () => this.#requests.delete(context.requestId),
        KEPT_AFTER_END_MILLISECONDS,
      );
    };
  }

  /**
   * Finds a request of one client account. Another account's request is not
   * found, so that an id tells nothing to whom it does not belong.
   */
  find(requestId: string, accountId: string): RequestContext | undefined {
    const context = this.#requests.get(requestId);
    return context?.account.id === accountId ? context : undefined;
  }

  /** Finds a request for an operator, whatever its account. */
  findAny(requestId: string): RequestContext | undefined {
    return this.#requests.get(requestId);
  }

  all(): Iterable<RequestContext> {
    return this.#requests.values();
  }
}
