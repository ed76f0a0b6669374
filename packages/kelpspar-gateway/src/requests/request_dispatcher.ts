import type { EndpointChoice } from "../endpoints/choose_endpoint.ts";
import type { EndpointRefusal } from "./endpoint_call.ts";
import type { ChainOutcome } from "../pieces/chain_outcome.ts";
import type { BufferedAnswer } from "./buffered_answer.ts";
import type { EventTimes, SentTo } from "./answer_evidence.ts";
import type { FailoverRefusal } from "./failover_refusal.ts";
import type { RetryCause } from "../retries/retry_cause.ts";
import type { RequestRun } from "./request_run.ts";
import type { ReceivedAnswer, SendResult } from "./send_result.ts";
import type { ShutdownAdmission } from "./shutdown_admission.ts";
import { shortestPause } from "../endpoints/shortest_pause.ts";
import { AnswerEvidence } from "./answer_evidence.ts";
import { AnswerProgress } from "./answer_progress.ts";
import { EndpointPlaces } from "./endpoint_places.ts";
import { EndpointSender } from "./endpoint_sender.ts";
import { requestPlacement } from "./request_placement.ts";
import { readAnswerBody } from "./read_answer_body.ts";
import { SendRecorder } from "./send_recorder.ts";
import { RequestRelayer } from "./request_relayer.ts";
import {
  FULL_RETRY_MILLISECONDS,
  NO_ENDPOINT_RETRY_MILLISECONDS,
} from "./retry_waits.ts";
import { QUEUE_SHARE } from "./queue_share.ts";
import { SPENT_BUDGET_REASON } from "./spent_budget_reason.ts";
import { isOverdue, isSuccessful } from "./hedge.ts";
import { closeAnswer, closeOther, isStreamed } from "./send_result.ts";
import { StreamContinuation } from "./stream_continuation.ts";
import { StreamFailover } from "./stream_failover.ts";
import { StreamForwarder } from "./stream_forwarder.ts";
import { StreamRelay } from "./stream_relay.ts";

/**
 * Callers take these as a promise that a request that runs at most once was never
 * executed. An endpoint that executed it may answer with one of them too.
 */
const NEVER_EXECUTED_STATUSES: ReadonlySet<number> = new Set([
  408,
  421,
  429,
  503,
]);

/** How a dispatch ended. */
export type DispatchOutcome =
  | "ended"
  /** Stage results must be made again. */
  | "input_gone"
  /** This daemon reaches no endpoint; the request may be relayed. */
  | "isolated";

/** Options of a `RequestDispatcher`. */
export interface RequestDispatcherOptions {
  /** Whether the request reads results of stages. */
  readonly hasStages: boolean;
  readonly shutdown: Pick<
    ShutdownAdmission,
    "findSendRefusal" | "findArrivalRefusal"
  >;
  /** Makes the results of the request's stages. */
  readonly runStages: (signal: AbortSignal) => Promise<ChainOutcome>;
}

/**
 * Sends a request to endpoints until it is answered or fails. After the stage
 * results that the request reads were lost and made again, `run` is called
 * again and resumes a stream where it stopped.
 */
export class RequestDispatcher {
  readonly #run: RequestRun;
  readonly #options: RequestDispatcherOptions;
  readonly #sender: EndpointSender;
  readonly #evidence: AnswerEvidence;
  readonly #recorder: SendRecorder;
  readonly #streamForwarder: StreamForwarder;
  readonly #continuation: StreamContinuation;
  readonly #relayer: RequestRelayer;
  /** Why the request would be sent again. */
  #retryCause: RetryCause = "failed";

  constructor(run: RequestRun, options: RequestDispatcherOptions) {
    const relay = new StreamRelay(run.options.request.lastEventId);
    this.#run = run;
    this.#options = options;
    this.#sender = new EndpointSender(run, {
      relay,
      isPrevented: () => this.#isPrevented,
    });
    this.#evidence = new AnswerEvidence(run);
    this.#recorder = new SendRecorder(run, {
      sender: this.#sender,
      evidence: this.#evidence,
    });
    this.#streamForwarder = new StreamForwarder(run, relay);
    this.#continuation = new StreamContinuation(run, relay);
    this.#relayer = new RequestRelayer({
      run,
      streamRelay: relay,
      streamForwarder: this.#streamForwarder,
      continuation: this.#continuation,
      shutdown: options.shutdown,
      fail: (reason, wait) => this.fail(reason, wait),
    });
  }

  /**
   * Has other daemons serve the request if this one can't; false if it has to go
   * on with it. A request that another daemon relayed is refused while this one
   * is isolated, so that the other asks the next one.
   */
  async relay(): Promise<boolean> {
    if (this.#run.mayRelay) return await this.#relayer.run();
    if (!this.#isIsolated) return false;
    this.fail("this daemon reaches no endpoint");
    return true;
  }

  /** Fails a stream whose software is unknown or gone; false if it failed. */
  async prepareContinuation(): Promise<boolean> {
    const failure = await this.#continuation.resolve();
    if (failure !== undefined) this.fail(failure);
    return failure === undefined;
  }

  async run(): Promise<DispatchOutcome> {
    const run = this.#run;
    const sender = this.#sender;
    if (this.#options.hasStages) sender.inputs = run.resultHandles;
    while (run.isOpen) {
      const obstacle = this.#handleObstacle();
      if (obstacle !== undefined) return obstacle;
      const choice = sender.chooseEndpoint() ??
        await this.#choosePlacedEndpoint() ??
        await this.#chooseAfterWait();
      if (!run.isOpen) return "ended";
      if (choice === undefined) return await this.#failWithoutEndpoint();
      if (sender.hasSentOften) return await this.#failAfterAllSends();
      const reservation = run.reserveSend(this.#retryCause);
      const outcome = typeof reservation === "string"
        ? reservation
        : await reservation;
      if (outcome === "refused") {
        return run.isOpen ? await this.#failWithoutBudget() : "ended";
      }
      // Another request may have taken the endpoint's last place meanwhile.
      const current = outcome === "allowed_after_wait"
        ? sender.chooseEndpoint()
        : choice;
      if (current === undefined || !run.isOpen) {
        run.cancelReservedSend();
        continue;
      }
      // The waits above may have outlasted the first check.
      const lateObstacle = this.#handleObstacle();
      if (lateObstacle !== undefined) {
        run.cancelReservedSend();
        return lateObstacle;
      }
      this.#retryCause = "failed";
      const result = await this.#send(current);
      if (!run.isOpen) closeAnswer(result);
      else {
        const end = await this.#handleResult(result);
        if (end !== "again") return end;
      }
    }
    return "ended";
  }

  /** Fails the request, or returns the fallback answer if there is one. */
  fail(
    reason: string,
    retryAfterMilliseconds = FULL_RETRY_MILLISECONDS,
  ): void {
    const run = this.#run;
    const { fallback } = this.#recorder;
    if (run.firstByteAt !== undefined) run.abort(reason);
    else if (fallback !== undefined) this.#sendAnswer(fallback);
    else run.fail(reason, retryAfterMilliseconds);
  }

  /** Whether the request can't be sent now; fails it if it never can. */
  #handleObstacle(): DispatchOutcome | undefined {
    const run = this.#run;
    if (this.#isIsolated) return "isolated";
    const failure = this.#continuation.failure;
    if (failure !== undefined) return this.#failAndEnd(failure);
    // Results are released at the first event of a stream. An endpoint that
    // resumes the stream needs them too, so they must be claimed or made first.
    if (this.#areInputsFreed) return "input_gone";
    if (run.isQuarantined) {
      run.rejectQuarantined();
      return "ended";
    }
    if (run.runs > 0 && run.isSuspect) {
      return this.#failAndEnd("not sent again: a part may crash endpoints");
    }
    const refusal = this.#options.shutdown.findSendRefusal(run);
    if (refusal === undefined) return undefined;
    this.fail(refusal.reason, refusal.retryAfterMilliseconds);
    return "ended";
  }

  /** Whether a request that is in progress must not be sent once more. */
  get #isPrevented(): boolean {
    const run = this.#run;
    return this.#isIsolated || run.isQuarantined || run.isSuspect ||
      this.#options.shutdown.findSendRefusal(run) !== undefined;
  }

  get #areInputsFreed(): boolean {
    return (this.#sender.inputs?.length ?? 0) > 0 &&
      this.#run.resultHandles.length === 0;
  }

  get #isIsolated(): boolean {
    return this.#run.options.dependencies.relay.isNeeded;
  }

  /** Waits for a check of the connections that is in progress. */
  async #verifyIsolation(): Promise<boolean> {
    await this.#run.options.dependencies.relay.verified();
    return this.#run.isOpen && this.#isIsolated;
  }

  async #failAfterAllSends(): Promise<DispatchOutcome> {
    if (await this.#verifyIsolation()) return "isolated";
    return this.#failAndEnd("sent too often");
  }

  async #failWithoutBudget(): Promise<DispatchOutcome> {
    if (await this.#verifyIsolation()) return "isolated";
    const { dependencies, service, request } = this.#run.options;
    const { retryGate, log } = dependencies;
    const retryAfterMilliseconds = retryGate.retryAfterMilliseconds(service);
    log.info("retry refused", {
      attempt: request.attemptId,
      service,
      sends: this.#run.sends,
      retryAfterMilliseconds,
      ...retryGate.describe(service),
    });
    this.fail(SPENT_BUDGET_REASON, retryAfterMilliseconds);
    return "ended";
  }

  #failAndEnd(reason: string): DispatchOutcome {
    this.fail(reason);
    return "ended";
  }

  /**
   * Asks the coordinator for an endpoint, at most once for each send, when only
   * endpoints are left whose limit doesn't allow this daemon a call now.
   */
  async #choosePlacedEndpoint(): Promise<EndpointChoice | undefined> {
    const run = this.#run;
    const hasAsked = run.sendsAtPlacementRequest === run.sends;
    if (hasAsked || !this.#sender.hasLimitedEndpoint) return undefined;
    await requestPlacement(run);
    return run.isOpen ? this.#sender.chooseEndpoint() : undefined;
  }

  /** Waits for one of the places at brittle endpoints, if that is in time. */
  async #chooseAfterWait(): Promise<EndpointChoice | undefined> {
    const run = this.#run;
    const { dependencies, service } = run.options;
    const { concurrency } = dependencies;
    const endsAt = run.now() + run.remainingObjective() * QUEUE_SHARE;
    while (
      run.isOpen && concurrency.isLimited(service) &&
      this.#sender.hasUnpausedEndpoint
    ) {
      const isWoken = await concurrency.waitForSlot({
        service,
        callMilliseconds: this.#sender.expectedMilliseconds,
        maximumMilliseconds: endsAt - run.now(),
        signal: run.stop.signal,
      });
      if (!isWoken || !run.isOpen) return undefined;
      const choice = this.#sender.chooseEndpoint();
      if (choice !== undefined) return choice;
    }
    return undefined;
  }

  async #failWithoutEndpoint(): Promise<DispatchOutcome> {
    if (await this.#verifyIsolation()) return "isolated";
    const { dependencies, service } = this.#run.options;
    const pause = shortestPause(
      dependencies.endpointRegistry.availableFor(service),
      this.#run.now(),
    );
    if (pause === 0 && this.#sender.hasLimitedEndpoint) {
      const wait = this.#run.placementRetryMilliseconds ?? 0;
      this.fail(
        "over the endpoints' limits",
        Math.max(wait, FULL_RETRY_MILLISECONDS),
      );
      return "ended";
    }
    if (pause === 0 && dependencies.concurrency.isLimited(service)) {
      const expected = dependencies.concurrency.expectedWait(
        service,
        this.#sender.expectedMilliseconds,
      );
      this.fail(
        "brittle endpoints are at capacity",
        Math.max(expected, FULL_RETRY_MILLISECONDS),
      );
      return "ended";
    }
    const wait = this.#sender.hasTriedEndpoint
      ? FULL_RETRY_MILLISECONDS
      : NO_ENDPOINT_RETRY_MILLISECONDS;
    this.fail("no endpoint left", pause > 0 ? pause : wait);
    return "ended";
  }

  /**
   * Sends the request. While the answer of a resumable stream is late, another
   * endpoint is looked for beside it.
   */
  async #send(choice: EndpointChoice): Promise<SendResult> {
    const run = this.#run;
    const sender = this.#sender;
    if (!run.isResumableStream) return await sender.send(choice);
    const replaced = new AbortController();
    const held = sender.send(choice, replaced.signal);
    const { timer } = run.options.dependencies;
    const isLate = await isOverdue(held, sender.lateAnswerMilliseconds, timer);
    if (!isLate || !run.isOpen || !run.hasAttemptsLeft) return await held;
    const { sentAt = run.now() } = run;
    const failover = this.#createFailover({
      endpoint: choice.endpoint,
      sentAt,
    });
    const found = failover.found();
    failover.start("late_answer");
    const first = await Promise.race([held, found]);
    if (first === "found") {
      replaced.abort();
      const next = await failover.take();
      if (next === undefined) return await held;
      void held.then((result) => this.#recorder.record(result));
      return next;
    }
    if (isSuccessful(first) && run.isOpen) await failover.resume();
    if (!run.isOpen) failover.cancel();
    if (!failover.isSearching) return first;
    void this.#recorder.record(first);
    // The answer that may follow counts from the first send.
    run.sentAt = sentAt;
    const next = await failover.take();
    if (next === undefined) run.sentAt = undefined;
    return next ?? first;
  }

  /** `times` are those of the events that the held answer has brought. */
  #createFailover(
    held: SentTo,
    times: EventTimes = {},
  ): StreamFailover<SendResult> {
    const run = this.#run;
    const { relay, quarantine } = run.options.dependencies;
    const places = new EndpointPlaces({
      run,
      sender: this.#sender,
      endpoint: held.endpoint,
      findObstacle: () => this.#findFailoverObstacle(),
      checkHeld: async () => {
        if (!quarantine.mayBecomeSuspect(run)) return;
        await this.#evidence.reportTruncated(held, times);
      },
      prepareInputs: (signal) => this.#prepareInputs(signal),
      mayRelay: () =>
        this.#isIsolated && run.mayRelay && run.hasAttemptsLeft &&
        relay.choosePeer(new Set()) !== undefined,
      recordFailure: (result) => void this.#recorder.record(result),
    });
    return new StreamFailover({ run, places });
  }

  #findFailoverObstacle(): string | undefined {
    const run = this.#run;
    if (this.#isIsolated) return "isolated";
    if (run.isQuarantined) return "quarantined";
    if (run.isSuspect) return "a part may crash endpoints";
    return this.#continuation.failure ??
      this.#options.shutdown.findSendRefusal(run)?.reason;
  }

  /** Claims the results of the stages, or makes them again. */
  async #prepareInputs(
    signal: AbortSignal,
  ): Promise<FailoverRefusal | undefined> {
    if (!this.#areInputsFreed) return undefined;
    const run = this.#run;
    const stop = AbortSignal.any([signal, run.stop.signal]);
    const outcome = await this.#options.runStages(stop);
    if (outcome.type === "refused") {
      const { reason, retryAfterMilliseconds } = outcome;
      return { reason: `stages: ${reason}`, retryAfterMilliseconds };
    }
    run.holdResults(outcome.results, outcome.place);
    if (signal.aborted) run.releaseReadResults();
    else this.#sender.inputs = run.resultHandles;
    return undefined;
  }

  async #handleResult(result: SendResult): Promise<DispatchOutcome | "again"> {
    const { answer } = result;
    switch (answer.type) {
      case "answered":
        if (!this.#recorder.has(result)) {
          return await this.#handleAnswer(result, answer);
        }
        await this.#recorder.record(result);
        return this.#retryIfOpen(`status ${answer.status}`);
      case "unreachable":
        await this.#recorder.record(result);
        return "again";
      case "not_run":
        await this.#recorder.record(result);
        return this.#handleRefusal(answer.refusal);
      case "unknown":
        await this.#recorder.record(result);
        return this.#retryOrFail(answer.reason);
    }
  }

  #handleRefusal(refusal: EndpointRefusal): DispatchOutcome | "again" {
    const handlers: Readonly<
      Record<EndpointRefusal, () => DispatchOutcome | "again">
    > = {
      full: () => {
        this.#retryCause = "rejected";
        return "again";
      },
      replaced: () => "again",
      input_gone: () => "input_gone",
      rejected: () => this.#failAndEnd("rejected by endpoint"),
      unsendable: () => this.#failAndEnd("can't be sent to an endpoint"),
    };
    return handlers[refusal]();
  }

  async #handleAnswer(
    result: SendResult,
    answer: ReceivedAnswer,
  ): Promise<DispatchOutcome | "again"> {
    return isStreamed(answer, this.#run.options.route)
      ? await this.#forwardStream(result, answer)
      : await this.#forwardBuffered(result, answer);
  }

  async #forwardBuffered(
    result: SendResult,
    answer: ReceivedAnswer,
  ): Promise<DispatchOutcome | "again"> {
    const run = this.#run;
    let body: Buffer;
    try {
      body = await readAnswerBody(run, answer);
    } catch (error) {
      const times = { firstEventAt: result.answeredAt };
      if (run.isOpen) return await this.#handleCutAnswer(result, error, times);
      closeOther(result);
      return "ended";
    }
    closeOther(result);
    if (!run.isOpen) return "ended";
    const { status, headers } = answer;
    if (status < 300) {
      this.#evidence.recordSound(result, { beganAt: result.answeredAt });
    }
    if (status >= 500) result.endpoint.failed(false, run.now());
    else this.#sender.recordFirstByte(result);
    if (!run.isRepeatable && NEVER_EXECUTED_STATUSES.has(status)) {
      this.#sender.logFailure(result, `status ${status}`);
      run.options.dependencies.quarantine.served(run.fingerprint);
      return this.#failAndEnd(`endpoint answered ${status}`);
    }
    // A repeatable request that an endpoint failed is retried at another one.
    // Otherwise the error answer is returned unchanged.
    if (status >= 500 && run.hasAttemptsLeft) {
      this.#sender.logFailure(result, `status ${status}`);
      this.#recorder.fallback = { status, headers, body };
      return "again";
    }
    this.#sendAnswer({ status, headers, body });
    return "ended";
  }

  #sendAnswer({ status, headers, body }: BufferedAnswer): void {
    const { dependencies } = this.#run.options;
    dependencies.quarantine.served(this.#run.fingerprint);
    this.#run.firstByteAt = this.#run.now();
    this.#run.options.reply.answer(status, headers, body);
    this.#run.finish(status < 500 ? "served" : "failed", { status });
  }

  async #forwardStream(
    result: SendResult,
    answer: ReceivedAnswer,
  ): Promise<DispatchOutcome | "again"> {
    const run = this.#run;
    const { endpoint } = result;
    const progress = new AnswerProgress(
      run,
      (wroteMilliseconds, isNew) =>
        this.#evidence.recordSound(result, {
          beganAt: progress.firstEventAt,
          wroteMilliseconds,
          isNew,
        }),
    );
    const failover = this.#createFailover(result, progress);
    const onFirstEvent = (): void => {
      this.#sender.recordFirstByte(result);
      this.#continuation.begun(endpoint.entry);
      // An endpoint that writes events has read its inputs.
      run.releaseReadResults();
    };
    let cut: { readonly error: unknown } | undefined;
    try {
      await this.#streamForwarder.forward({
        answer,
        endpoint,
        failover,
        beforeFirstEvent: () => this.#continuation.begin(endpoint.entry),
        onFirstEvent,
        onEvents: () => progress.advance(),
      });
    } catch (error) {
      cut = { error };
    } finally {
      result.release();
    }
    if (run.isOpen && cut !== undefined) {
      return await this.#continueCutStream(result, {
        error: cut.error,
        times: progress,
        failover,
      });
    }
    failover.cancel();
    if (run.isOpen) {
      run.options.dependencies.quarantine.served(run.fingerprint);
      const { firstEventAt, isSound } = progress;
      this.#evidence.recordSound(result, {
        beganAt: firstEventAt,
        isNew: !isSound,
      });
    }
    // No effect if the run has ended already, e.g. by a caller's disconnect.
    run.finish("served", {
      endpoint: endpoint.entry.id,
      status: 200,
      framing: answer.framing,
    });
    return "ended";
  }

  /** Goes on with what a failover found before the stream was cut, if it did. */
  async #continueCutStream(
    result: SendResult,
    { error, times, failover }: {
      readonly error: unknown;
      readonly times: EventTimes;
      readonly failover: StreamFailover<SendResult>;
    },
  ): Promise<DispatchOutcome | "again"> {
    const run = this.#run;
    const isKnown = failover.isSearching;
    this.#recorder.recordCut(result, error, { times, isKnown });
    const report = this.#evidence.reportTruncated(result, times);
    if (!failover.hasFound) await report;
    const next = await failover.take();
    if (next === undefined) return this.#retryIfOpen("answer cut");
    if (run.isOpen) return await this.#handleResult(next);
    closeAnswer(next);
    return "ended";
  }

  async #handleCutAnswer(
    result: SendResult,
    error: unknown,
    times: EventTimes,
  ): Promise<DispatchOutcome | "again"> {
    this.#recorder.recordCut(result, error, { times, isKnown: false });
    await this.#evidence.reportTruncated(result, times);
    const next = await result.other;
    if (next === undefined) return this.#retryIfOpen("answer cut");
    if (this.#run.isOpen) return await this.#handleResult(next);
    closeAnswer(next);
    return "ended";
  }

  #retryIfOpen(reason: string): DispatchOutcome | "again" {
    return this.#run.isOpen ? this.#retryOrFail(reason) : "ended";
  }

  #retryOrFail(reason: string): DispatchOutcome | "again" {
    const run = this.#run;
    const maySend = run.hasAttemptsLeft && !run.isSuspect;
    if (maySend && run.remaining() > 0) return "again";
    return this.#failAndEnd(reason);
  }
}
