import type { EndpointChoice } from "../endpoints/choose_endpoint.ts";
import type { EndpointState } from "../endpoints/endpoint_state.ts";
import type { EndpointSender } from "./endpoint_sender.ts";
import type { FailoverRefusal } from "./failover_refusal.ts";
import type { RequestDependencies } from "./request_dependencies.ts";
import type { RequestRun } from "./request_run.ts";
import type { SendResult } from "./send_result.ts";
import { closeAnswer, isStreamed } from "./send_result.ts";
import { SPENT_BUDGET_REASON } from "./spent_budget_reason.ts";

/** Bounds of the time until another endpoint is looked for once more. */
const MINIMUM_RETRY_MILLISECONDS = 250;
const MAXIMUM_RETRY_MILLISECONDS = 2_000;

const NO_ENDPOINT: FailoverRefusal = { reason: "no endpoint" };
const ENDED: FailoverRefusal = { reason: "ended" };
const NO_ATTEMPT: FailoverRefusal = {
  reason: "no attempt left",
  isFinal: true,
};

/** Why another endpoint is looked for. */
export type FailoverCause = "silence" | "slow_event" | "late_answer";

/** What followed a stall. */
export type StallOutcome =
  /** The held answer went on. */
  | "resumed"
  /** Another endpoint answered. */
  | "replaced"
  /** The held answer was cut, or the request ended. */
  | "ended";

/** Options of a `StreamFailover`. */
export interface StreamFailoverOptions {
  readonly run: RequestRun;
  readonly sender: Pick<
    EndpointSender,
    | "chooseEndpoint"
    | "sendBeside"
    | "hasUnpausedEndpoint"
    | "hasSentOften"
    | "lateAnswerMilliseconds"
  >;
  /** The endpoint whose answer is held. */
  readonly endpoint: EndpointState;
  /** Why the stream must not be sent once more, if so. */
  readonly findObstacle: () => string | undefined;
  /** Reports a crash of the held endpoint if the request may be the cause. */
  readonly checkHeld: () => Promise<void>;
  /** Makes freed results of the stages again. */
  readonly prepareInputs: (
    signal: AbortSignal,
  ) => Promise<FailoverRefusal | undefined>;
  /** True if this daemon reaches no endpoint and another one serves. */
  readonly mayRelay: () => boolean;
  /** Records a send whose answer isn't used. */
  readonly recordFailure: (result: SendResult) => void;
}

interface Search {
  readonly abort: AbortController;
  readonly cause: FailoverCause;
  readonly startedAt: number;
  readonly result: Promise<SendResult | undefined>;
}

/** A send without a result yet. */
interface PendingSend {
  readonly abort: AbortController;
  readonly result: Promise<SendResult>;
}

/**
 * Looks for another endpoint for a stream whose endpoint is silent. The answer of
 * the silent one is held meanwhile: it may only pause, and the retry budget, the
 * stages or a place may be missing elsewhere. An answer that was given up first
 * would then be lost.
 */
export class StreamFailover {
  readonly #options: StreamFailoverOptions;
  #search: Search | undefined;
  #isHeld = true;
  #hasFound = false;
  readonly #pending = new Set<PendingSend>();
  readonly #results: SendResult[] = [];
  /** Ends the current wait. */
  #wake = (): void => {};
  readonly #foundListeners = new Set<() => void>();

  constructor(options: StreamFailoverOptions) {
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

  /** Starts to look for another endpoint, unless that is in progress. */
  start(cause: FailoverCause): void {
    if (this.#search !== undefined) return;
    const { run, endpoint } = this.#options;
    const { request } = run.options;
    const { log } = this.#dependencies;
    const abort = new AbortController();
    log.info("stream stalled", {
      attempt: request.attemptId,
      endpoint: endpoint.entry.id,
      cause,
      openCalls: endpoint.inFlight,
      attemptsLeft: run.attemptsLeft,
      remainingMilliseconds: Math.round(run.remaining()),
    });
    const startedAt = run.now();
    if (cause !== "late_answer") endpoint.callOverdue(startedAt);
    const result = this.#findOrLog(abort.signal);
    this.#search = { abort, cause, startedAt, result };
  }

  /** Ends the search, since the held answer goes on or its request has ended. */
  cancel(): void {
    const search = this.#search;
    if (search === undefined) return;
    const { run } = this.#options;
    this.#search = undefined;
    search.abort.abort();
    this.#wake();
    void search.result.then((result) => {
      if (result !== undefined) closeAnswer(result);
    });
    // Until its first event, the held endpoint may fail and its inputs be needed.
    if (run.firstByteAt !== undefined) run.releaseResults();
    this.#recordEnd(search, run.isOpen ? "resumed" : "ended");
  }

  /**
   * To be called when the held answer is over. Resolves to the result of a send
   * that was made or is in progress; undefined if there is none.
   */
  async take(): Promise<SendResult | undefined> {
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
  async #findOrLog(signal: AbortSignal): Promise<SendResult | undefined> {
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

  /** Tries until another endpoint answers or the held answer is over. */
  async #find(signal: AbortSignal): Promise<SendResult | undefined> {
    const { run, mayRelay, recordFailure } = this.#options;
    const wake = (): void => this.#wake();
    run.stop.signal.addEventListener("abort", wake, { once: true });
    try {
      let wait = 0;
      for (;;) {
        const result = await this.#nextResult(wait);
        if (signal.aborted || !run.isOpen) return result;
        if (result !== undefined) {
          if (this.#isAnswer(result)) return this.#report(result);
          if (this.#isOver) return result;
          recordFailure(result);
          wait = MINIMUM_RETRY_MILLISECONDS;
          continue;
        }
        if (this.#isOver) return undefined;
        const isRelayed = mayRelay();
        const refusal = isRelayed
          ? await this.#reserve(signal)
          : await this.#sendNext(signal);
        if (signal.aborted || !run.isOpen) return undefined;
        // Another daemon serves the request with the retry that is reserved.
        if (isRelayed && refusal === undefined) return this.#report(undefined);
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

  /** True for an answer with which the request goes on. */
  #isAnswer({ answer }: SendResult): boolean {
    const { run } = this.#options;
    if (isStreamed(answer, run.options.route)) return true;
    const isFinal = answer.type === "answered" &&
      (answer.status < 500 || !run.hasAttemptsLeft);
    return isFinal && run.firstByteAt === undefined;
  }

  /** Waits for the next result; undefined if there is none in time. */
  #nextResult(milliseconds: number): Promise<SendResult | undefined> {
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

  /** Sends the request to another endpoint, or tells why it can't. */
  async #sendNext(signal: AbortSignal): Promise<FailoverRefusal | undefined> {
    const { run, sender, prepareInputs, checkHeld } = this.#options;
    const known = this.#findRefusal();
    if (known !== undefined) return known;
    await checkHeld();
    const refusal = this.#findRefusal() ?? await prepareInputs(signal);
    if (refusal !== undefined) return refusal;
    const missing = await this.#reserve(signal);
    if (missing !== undefined) return missing;
    const choice = sender.chooseEndpoint();
    // The waits above may have outlasted the first check.
    const obstacle = this.#findObstacle();
    if (choice === undefined || obstacle !== undefined) {
      run.cancelReservedSend();
      return obstacle ?? NO_ENDPOINT;
    }
    this.#send(choice);
    return undefined;
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

  #send(choice: EndpointChoice): void {
    const abort = new AbortController();
    const result = this.#options.sender.sendBeside(choice, abort.signal);
    const pending: PendingSend = { abort, result };
    this.#pending.add(pending);
    void result.then((settled) => {
      // One that was given up is handled there.
      if (!this.#pending.delete(pending)) return;
      this.#results.push(settled);
      this.#wake();
    });
  }

  /** Ends all other sends; those that were replaced have failed. */
  #giveUpPending({ isReplaced }: { readonly isReplaced: boolean }): void {
    const { recordFailure } = this.#options;
    for (const result of this.#results.splice(0)) closeAnswer(result);
    for (const { abort, result } of this.#pending) {
      abort.abort();
      void result.then(isReplaced ? recordFailure : closeAnswer);
    }
    this.#pending.clear();
  }

  /** What is known to keep the stream from going on, before its stages. */
  #findRefusal(): FailoverRefusal | undefined {
    const { run, sender } = this.#options;
    const { retryGate } = this.#dependencies;
    const obstacle = this.#findObstacle();
    if (obstacle !== undefined) return obstacle;
    if (!sender.hasUnpausedEndpoint) return NO_ENDPOINT;
    const wait = retryGate.waitFor(run.options.service, 1);
    return wait > 0 ? this.#spentBudget() : undefined;
  }

  #findObstacle(): FailoverRefusal | undefined {
    const { run, sender, findObstacle } = this.#options;
    if (!run.hasAttemptsLeft || sender.hasSentOften) {
      return NO_ATTEMPT;
    }
    const reason = findObstacle();
    return reason === undefined ? undefined : { reason };
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
      return this.#options.sender.lateAnswerMilliseconds;
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
  #report(result: SendResult | undefined): SendResult | undefined {
    this.#hasFound = true;
    for (const listener of this.#foundListeners) listener();
    return result;
  }

  #recordEnd(
    { cause, startedAt }: Search,
    outcome: StallOutcome,
  ): void {
    const { run, endpoint } = this.#options;
    const { log, metrics } = this.#dependencies;
    const { service, request } = run.options;
    const now = run.now();
    if (cause !== "late_answer") {
      endpoint.overdueCallEnded({
        isAnswered: outcome === "resumed",
        startedAt,
        now,
      });
    }
    metrics.countStalledStream(service, outcome);
    log.info("stream no longer stalled", {
      attempt: request.attemptId,
      endpoint: endpoint.entry.id,
      cause,
      outcome,
      tookMilliseconds: Math.round(now - startedAt),
    });
  }
}
