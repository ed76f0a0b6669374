import type {
  FailoverCause,
  FailoverPlaces,
  StallEnd,
} from "./failover_places.ts";
import type { FailoverRefusal } from "./failover_refusal.ts";
import type { RequestDependencies } from "./request_dependencies.ts";
import type { RequestRun } from "./request_run.ts";
import { SPENT_BUDGET_REASON } from "./spent_budget_reason.ts";

/** Bounds of the time until another endpoint is looked for once more. */
const MINIMUM_RETRY_MILLISECONDS = 250;
const MAXIMUM_RETRY_MILLISECONDS = 2_000;

const ENDED: FailoverRefusal = { reason: "ended" };

/** What followed a stall. */
export type StallOutcome =
  /** The held answer went on. */
  | "resumed"
  /** Another endpoint answered. */
  | "replaced"
  /** The held answer was cut, or the request ended. */
  | "ended";

/**
 * A send that was made takes the place of a held answer that goes on if its own
 * begins within this time: two endpoints must not both work on a stream.
 */
const RESUME_MILLISECONDS = 300;

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

/** A send without a result yet. */
interface PendingSend<Result> {
  readonly abort: AbortController;
  readonly result: Promise<Result>;
}

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
  /** True while the held answer goes on and a send may take its place. */
  #isResuming = false;
  readonly #pending = new Set<PendingSend<Result>>();
  readonly #results: Result[] = [];
  /** Ends the current wait. */
  #wake = (): void => {};
  readonly #foundListeners = new Set<() => void>();

  constructor(options: StreamFailoverOptions<Result>) {
    this.#options = options;
  }

  /** True from the start of a stall until the held answer goes on. */
  get isSearching(): boolean {
    return this.#search !== undefined;
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

  /** Resolves once the held answer is to be closed. */
  found(): Promise<"found"> {
    return new Promise((resolve) => {
      this.registerFound(() => resolve("found"));
    });
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

  /**
   * To be called when the held answer goes on, before it is used. Ends the search
   * unless a send that was made takes its place.
   */
  async resume(): Promise<void> {
    const search = this.#search;
    if (search === undefined) return;
    if (this.#pending.size > 0 && !this.#hasFound) {
      this.#isResuming = true;
      await this.#endsWithin(search, RESUME_MILLISECONDS);
      this.#isResuming = false;
    }
    if (!this.#hasFound) this.cancel();
  }

  #endsWithin(search: Search<Result>, milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const stop = this.#dependencies.timer.registerTimeout(
        resolve,
        milliseconds,
      );
      void search.result.then(() => {
        stop();
        resolve();
      });
    });
  }

  /** Ends the search, since the held answer goes on or its request has ended. */
  cancel(): void {
    const search = this.#search;
    if (search === undefined) return;
    const { run, places } = this.#options;
    this.#search = undefined;
    search.abort.abort();
    this.#wake();
    void search.result.then((result) => {
      if (result !== undefined) places.close(result);
    });
    // Until its first event, the held endpoint may fail and its inputs be needed.
    if (run.firstByteAt !== undefined) run.releaseReadResults();
    this.#recordEnd(search, run.isOpen ? "resumed" : "ended");
  }

  /**
   * To be called when the held answer is over. Resolves to the result of a send
   * that was made or is in progress; undefined if there is none.
   */
  async take(): Promise<Result | undefined> {
    const search = this.#search;
    if (search === undefined) return undefined;
    this.#isHeld = false;
    if (this.#pending.size === 0) this.#wake();
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
    const wake = (): void => this.#wake();
    run.stop.signal.addEventListener("abort", wake, { once: true });
    try {
      let wait = 0;
      for (;;) {
        const result = await this.#nextResult(wait);
        if (signal.aborted || !run.isOpen) return result;
        if (result !== undefined) {
          if (places.isReplacement(result)) return this.#report(result);
          if (this.#isOver) return result;
          wait = this.#waitAfter(places.recordFailure(result));
          continue;
        }
        if (this.#isOver || this.#isResuming) return undefined;
        const goesOnOtherwise = places.goesOnOtherwise();
        const refusal = goesOnOtherwise
          ? await this.#reserve(signal)
          : await this.#sendNext(signal);
        if (signal.aborted || !run.isOpen) return undefined;
        // Who goes on uses the retry that is reserved.
        if (goesOnOtherwise && refusal === undefined) {
          return this.#report(undefined);
        }
        wait = this.#waitAfter(refusal);
      }
    } finally {
      run.stop.signal.removeEventListener("abort", wake);
      this.#giveUpPending({ isReplaced: this.#hasFound });
    }
  }

  /** True if nothing is left to wait for. */
  get #isOver(): boolean {
    return !this.#isHeld && this.#pending.size === 0 &&
      this.#results.length === 0;
  }

  /** Waits for the next result; undefined if there is none in time. */
  #nextResult(milliseconds: number): Promise<Result | undefined> {
    const result = this.#results.shift();
    if (result !== undefined || milliseconds === 0 || this.#isOver) {
      return Promise.resolve(result);
    }
    return new Promise((resolve) => {
      const end = (): void => {
        stopTimer();
        this.#wake = () => {};
        resolve(this.#results.shift());
      };
      const stopTimer = Number.isFinite(milliseconds)
        ? this.#dependencies.timer.registerTimeout(end, milliseconds)
        : () => {};
      this.#wake = end;
    });
  }

  /** Asks another place, or tells why it can't. */
  async #sendNext(signal: AbortSignal): Promise<FailoverRefusal | undefined> {
    const { run, places } = this.#options;
    const refusal = this.#findRefusal() ?? await places.prepare(signal) ??
      await this.#reserve(signal);
    if (refusal !== undefined) return refusal;
    // The waits above may have outlasted the first check.
    const obstacle = places.findObstacle();
    const missing = obstacle ?? this.#send();
    if (missing !== undefined) run.cancelReservedSend();
    return missing;
  }

  async #reserve(signal: AbortSignal): Promise<FailoverRefusal | undefined> {
    const { run } = this.#options;
    const isOver = (): boolean => signal.aborted || !run.isOpen;
    if (isOver()) return ENDED;
    const outcome = await run.reserveSend("failed", () => !isOver());
    if (outcome === "refused") return this.#spentBudget();
    if (!isOver()) return undefined;
    run.cancelReservedSend();
    return ENDED;
  }

  #send(): FailoverRefusal | undefined {
    const { places } = this.#options;
    const abort = new AbortController();
    const result = places.send(abort.signal);
    if (result === undefined) {
      return places.findMissingPlace() ?? { reason: "no place left" };
    }
    const pending: PendingSend<Result> = { abort, result };
    this.#pending.add(pending);
    void result.then((settled) => {
      // One that was given up is handled there.
      if (!this.#pending.delete(pending)) return;
      this.#results.push(settled);
      this.#wake();
    });
    return undefined;
  }

  /** Ends all other sends; those that were replaced have failed. */
  #giveUpPending({ isReplaced }: { readonly isReplaced: boolean }): void {
    const { places } = this.#options;
    const handle = (result: Result): void => {
      if (isReplaced) places.recordFailure(result);
      else places.close(result);
    };
    for (const result of this.#results.splice(0)) handle(result);
    for (const { abort, result } of this.#pending) {
      abort.abort();
      void result.then(handle);
    }
    this.#pending.clear();
  }

  /** What is known to keep the stream from going on, before its stages. */
  #findRefusal(): FailoverRefusal | undefined {
    const { run, places } = this.#options;
    const { retryGate } = this.#dependencies;
    const refusal = places.findObstacle() ?? places.findMissingPlace();
    if (refusal !== undefined) return refusal;
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

  /** When to try again, milliseconds. */
  #waitAfter(refusal: FailoverRefusal | undefined): number {
    if (refusal === undefined) {
      return this.#options.places.lateMilliseconds;
    }
    const { run } = this.#options;
    const { log, metrics } = this.#dependencies;
    const { reason, retryAfterMilliseconds = 0, isFinal } = refusal;
    const { service, request } = run.options;
    metrics.countFailoverRefusal(service, reason);
    log.info("no other endpoint for stalled stream", {
      attempt: request.attemptId,
      reason,
      retryAfterMilliseconds,
    });
    if (isFinal === true) return Number.POSITIVE_INFINITY;
    return Math.max(
      Math.min(retryAfterMilliseconds, MAXIMUM_RETRY_MILLISECONDS),
      MINIMUM_RETRY_MILLISECONDS,
    );
  }

  /** Ends the search with the result of a send, or to relay the request. */
  #report(result: Result | undefined): Result | undefined {
    this.#hasFound = true;
    for (const listener of this.#foundListeners) listener();
    return result;
  }

  #recordEnd(
    { cause, startedAt, endStall }: Search<Result>,
    outcome: StallOutcome,
  ): void {
    const { run, places } = this.#options;
    const { log, metrics } = this.#dependencies;
    const { service, request } = run.options;
    const now = run.now();
    endStall({ isAnswered: outcome === "resumed", startedAt, now });
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
