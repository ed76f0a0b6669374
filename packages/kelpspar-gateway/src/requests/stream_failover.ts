import type {
  FailoverCause,
  FailoverPlaces,
  StallEnd,
} from "./failover_places.ts";
import type { FailoverRefusal } from "./failover_refusal.ts";
import type { RequestDependencies } from "./request_dependencies.ts";
import type { RequestRun } from "./request_run.ts";
import { SPENT_BUDGET_REASON } from "./spent_budget_reason.ts";

/** Bounds of the time until another place is looked for once more. */
const MINIMUM_RETRY_MILLISECONDS = 250;
const MAXIMUM_RETRY_MILLISECONDS = 1_000;

/** Options of a `StreamFailover`. */
export interface StreamFailoverOptions<Result> {
  readonly run: RequestRun;
  readonly places: FailoverPlaces<Result>;
}

interface Search<Result> {
  readonly abort: AbortController;
  readonly cause: FailoverCause;
  readonly startedAt: number;
  readonly endStall: (end: StallEnd) => void;
  readonly result: Promise<Result | undefined>;
}

type Attempt<Result> =
  | { readonly type: "sent"; readonly result: Result }
  | { readonly type: "refused"; readonly refusal: FailoverRefusal }
  /** The stream goes on otherwise, with the send that was reserved. */
  | { readonly type: "reserved" };

/**
 * Looks for another endpoint, or another daemon, for a stream that is silent. The
 * silent answer is held meanwhile: it may only pause, and the retry budget, the
 * stages or a place may be missing elsewhere. An answer that was given up first
 * would then be lost.
 */
export class StreamFailover<Result> {
  readonly #options: StreamFailoverOptions<Result>;
  #search: Search<Result> | undefined;
  #isHeld = true;
  #hasFound = false;
  #stopWaiting = (): void => {};
  readonly #foundListeners = new Set<() => void>();

  constructor(options: StreamFailoverOptions<Result>) {
    this.#options = options;
  }

  /** True once the held answer is to be closed. */
  get hasFound(): boolean {
    return this.#hasFound;
  }

  /** Calls `listener` once the held answer is to be closed. */
  registerFound(listener: () => void): () => void {
    this.#foundListeners.add(listener);
    return () => this.#foundListeners.delete(listener);
  }

  /** Starts to look for another place, unless that is in progress. */
  start(cause: FailoverCause): void {
    if (this.#search !== undefined) return;
    const { run, places } = this.#options;
    const { request } = run.options;
    const { log } = this.#dependencies;
    const abort = new AbortController();
    log.info("stream stalled", {
      attempt: request.attemptId,
      ...places.describeHeld(),
      cause,
      attemptsLeft: run.attemptsLeft,
      remainingMilliseconds: Math.round(run.remaining()),
    });
    const startedAt = run.now();
    const endStall = places.startStall(cause, startedAt);
    const result = this.#findOrLog(abort.signal);
    this.#search = { abort, cause, startedAt, endStall, result };
  }

  /** Keeps the held answer, which goes on or has ended. */
  cancel(): void {
    const search = this.#search;
    if (search === undefined) return;
    this.#search = undefined;
    search.abort.abort();
    this.#stopWaiting();
    void search.result.then((result) => {
      if (result !== undefined) this.#options.places.close(result);
    });
    this.#options.run.releaseResults();
    this.#recordEnd(search, "resumed");
  }

  /**
   * To be called when the held answer is over. Resolves to the result of a send
   * that was made or is in progress; undefined if there is none.
   */
  async take(): Promise<Result | undefined> {
    const search = this.#search;
    if (search === undefined) return undefined;
    this.#isHeld = false;
    this.#stopWaiting();
    const result = await search.result;
    this.#recordEnd(search, this.#hasFound ? "replaced" : "ended");
    return result;
  }

  get #dependencies(): RequestDependencies {
    return this.#options.run.options.dependencies;
  }

  /** An unexpected error ends the search, not the held answer. */
  async #findOrLog(signal: AbortSignal): Promise<Result | undefined> {
    try {
      return await this.#find(signal);
    } catch (error) {
      const { log } = this.#dependencies;
      log.warn("failover failed with an unexpected error", {
        attempt: this.#options.run.options.request.attemptId,
        reason: error instanceof Error ? error.stack : String(error),
      });
      return undefined;
    }
  }

  /** Tries until another place answers or the held answer is over. */
  async #find(signal: AbortSignal): Promise<Result | undefined> {
    const { run, places } = this.#options;
    while (!signal.aborted && run.isOpen) {
      const attempt = await this.#try(signal);
      const result = attempt.type === "sent" ? attempt.result : undefined;
      if (attempt.type === "reserved") {
        if (signal.aborted) run.cancelReservedSend();
        else this.#reportFound();
        return undefined;
      }
      if (signal.aborted) return result;
      const kind = result === undefined ? "failure" : places.kindOf(result);
      if (kind === "replacement") {
        this.#reportFound();
        return result;
      }
      if (!this.#isHeld) return kind === "answer" ? result : undefined;
      await this.#wait(this.#recordRefusal(attempt), signal);
      if (!this.#isHeld) return undefined;
    }
    return undefined;
  }

  async #try(signal: AbortSignal): Promise<Attempt<Result>> {
    const { run, places } = this.#options;
    const isPrepared = !places.goesOnOtherwise();
    const refusal = isPrepared
      ? this.#findRefusal() ?? await places.prepare(signal)
      : undefined;
    if (refusal !== undefined) return { type: "refused", refusal };
    const outcome = signal.aborted
      ? "refused"
      : await run.reserveSend("failed", () => !signal.aborted);
    if (outcome === "refused") {
      return { type: "refused", refusal: this.#spentBudget() };
    }
    // The waits above may have outlasted the first check.
    if (!signal.aborted && places.goesOnOtherwise()) {
      return { type: "reserved" };
    }
    const obstacle = places.findObstacle();
    const maySend = !signal.aborted && isPrepared && obstacle === undefined;
    const send = maySend ? places.send(signal) : undefined;
    if (send !== undefined) return { type: "sent", result: await send };
    run.cancelReservedSend();
    const reason = obstacle ?? places.findMissingPlace() ?? "no place left";
    return { type: "refused", refusal: { reason } };
  }

  /** What is known to keep the stream from going on, before its stages. */
  #findRefusal(): FailoverRefusal | undefined {
    const { run, places } = this.#options;
    const { retryGate } = this.#dependencies;
    const reason = places.findObstacle() ?? places.findMissingPlace();
    if (reason !== undefined) return { reason };
    const wait = retryGate.waitFor(run.options.service, 1);
    return wait > 0 ? this.#spentBudget() : undefined;
  }

  #spentBudget(): FailoverRefusal {
    const { service } = this.#options.run.options;
    return {
      reason: SPENT_BUDGET_REASON,
      retryAfterMilliseconds: this.#dependencies.retryGate
        .retryAfterMilliseconds(service),
    };
  }

  /** Records why nothing was found yet; returns when to try again. */
  #recordRefusal(
    attempt: Exclude<Attempt<Result>, { type: "reserved" }>,
  ): number {
    const { run, places } = this.#options;
    const { log, metrics } = this.#dependencies;
    const { reason, retryAfterMilliseconds = 0 } = attempt.type === "sent"
      ? places.recordFailure(attempt.result)
      : attempt.refusal;
    const { service, request } = run.options;
    metrics.countFailoverRefusal(service, reason);
    log.info("no other endpoint for stalled stream", {
      attempt: request.attemptId,
      reason,
      retryAfterMilliseconds,
    });
    return Math.min(
      Math.max(retryAfterMilliseconds, MINIMUM_RETRY_MILLISECONDS),
      MAXIMUM_RETRY_MILLISECONDS,
    );
  }

  async #wait(milliseconds: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return;
    const { timer } = this.#dependencies;
    await new Promise<void>((resolve) => {
      const stop = timer.registerTimeout(resolve, milliseconds);
      this.#stopWaiting = () => {
        stop();
        resolve();
      };
    });
  }

  #reportFound(): void {
    this.#hasFound = true;
    for (const listener of this.#foundListeners) listener();
  }

  #recordEnd(
    { cause, startedAt, endStall }: Search<Result>,
    outcome: "resumed" | "replaced" | "ended",
  ): void {
    const { run, places } = this.#options;
    const { log, metrics } = this.#dependencies;
    const { service, request } = run.options;
    const now = run.now();
    const isAnswered = outcome === "resumed" && run.isOpen;
    endStall({ isAnswered, startedAt, now });
    metrics.countStalledStream(service, outcome);
    log.info("stream no longer stalled", {
      attempt: request.attemptId,
      ...places.describeHeld(),
      cause,
      outcome,
      tookMilliseconds: Math.round(now - startedAt),
    });
  }
}
