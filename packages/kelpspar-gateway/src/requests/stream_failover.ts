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
const MAXIMUM_RETRY_MILLISECONDS = 1_000;

/** Why another endpoint is looked for. */
export type FailoverCause = "silence" | "slow_event" | "late_answer";

/** Options of a `StreamFailover`. */
export interface StreamFailoverOptions {
  readonly run: RequestRun;
  readonly sender: Pick<
    EndpointSender,
    "chooseEndpoint" | "sendBeside" | "hasHealthyEndpoint" | "hasSentOften"
  >;
  /** The endpoint whose answer is held. */
  readonly endpoint: EndpointState;
  /** Why the stream must not be sent once more, if so. */
  readonly findObstacle: () => string | undefined;
  /** Makes freed results of the stages again. */
  readonly prepareInputs: (
    signal: AbortSignal,
  ) => Promise<FailoverRefusal | undefined>;
  /** True if this daemon reaches no endpoint and another one serves. */
  readonly mayRelay: () => boolean;
  /** Records a send that brought no answer. */
  readonly recordFailure: (result: SendResult) => void;
}

interface Search {
  readonly abort: AbortController;
  readonly cause: FailoverCause;
  readonly startedAt: number;
  readonly result: Promise<SendResult | undefined>;
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
  #stopWaiting = (): void => {};
  readonly #foundListeners = new Set<() => void>();

  constructor(options: StreamFailoverOptions) {
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

  /** Keeps the held answer, which goes on or has ended. */
  cancel(): void {
    const search = this.#search;
    if (search === undefined) return;
    this.#search = undefined;
    search.abort.abort();
    this.#stopWaiting();
    void search.result.then((result) => {
      if (result !== undefined) closeAnswer(result);
    });
    this.#options.run.releaseReadResults();
    this.#recordEnd(search, "resumed");
  }

  /**
   * To be called when the held answer is over. Resolves to the result of a send
   * that was made or is in progress; undefined if there is none.
   */
  async take(): Promise<SendResult | undefined> {
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
    const { run, mayRelay } = this.#options;
    while (!signal.aborted && run.isOpen) {
      if (mayRelay()) {
        this.#reportFound();
        return undefined;
      }
      const attempt = await this.#try(signal);
      if (signal.aborted) return resultOf(attempt);
      if ("answer" in attempt) {
        if (isStreamed(attempt.answer, run.options.route)) {
          this.#reportFound();
          return attempt;
        }
        if (!this.#isHeld) return attempt;
      }
      if (!this.#isHeld) return undefined;
      await this.#wait(this.#recordRefusal(attempt), signal);
      if (!this.#isHeld) return undefined;
    }
    return undefined;
  }

  async #try(signal: AbortSignal): Promise<SendResult | FailoverRefusal> {
    const { run, sender, prepareInputs } = this.#options;
    const refusal = this.#findRefusal() ?? await prepareInputs(signal);
    if (refusal !== undefined) return refusal;
    const outcome = signal.aborted
      ? "refused"
      : await run.reserveSend("failed", () => !signal.aborted);
    if (outcome === "refused") return this.#spentBudget();
    const choice = signal.aborted ? undefined : sender.chooseEndpoint();
    // The waits above may have outlasted the first check.
    const obstacle = this.#findObstacle();
    if (choice === undefined || obstacle !== undefined) {
      run.cancelReservedSend();
      return obstacle ?? { reason: "no endpoint" };
    }
    return await sender.sendBeside(choice, signal);
  }

  /** What is known to keep the stream from going on, before its stages. */
  #findRefusal(): FailoverRefusal | undefined {
    const { run, sender } = this.#options;
    const { retryGate } = this.#dependencies;
    const obstacle = this.#findObstacle();
    if (obstacle !== undefined) return obstacle;
    if (!sender.hasHealthyEndpoint) return { reason: "no endpoint" };
    const wait = retryGate.waitFor(run.options.service, 1);
    return wait > 0 ? this.#spentBudget() : undefined;
  }

  #findObstacle(): FailoverRefusal | undefined {
    const { run, sender, findObstacle } = this.#options;
    if (!run.hasAttemptsLeft || sender.hasSentOften) {
      return { reason: "no attempt left" };
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

  /** Records why nothing was found yet; returns when to try again. */
  #recordRefusal(attempt: SendResult | FailoverRefusal): number {
    const { run, recordFailure } = this.#options;
    const { log, metrics } = this.#dependencies;
    if ("answer" in attempt) recordFailure(attempt);
    const refusal: FailoverRefusal = "answer" in attempt
      ? { reason: `endpoint: ${attempt.answer.type}` }
      : attempt;
    const { reason, retryAfterMilliseconds = 0 } = refusal;
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
    { cause, startedAt }: Search,
    outcome: "resumed" | "replaced" | "ended",
  ): void {
    const { run, endpoint } = this.#options;
    const { log, metrics } = this.#dependencies;
    const { service, request } = run.options;
    const now = run.now();
    if (cause !== "late_answer") {
      endpoint.overdueCallEnded({
        isAnswered: outcome === "resumed" && run.isOpen,
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

function resultOf(
  attempt: SendResult | FailoverRefusal,
): SendResult | undefined {
  return "answer" in attempt ? attempt : undefined;
}
