import type { ServiceRoute } from "../configuration/service_route.ts";
import type { ClientAccount } from "../configuration/serving_configuration.ts";
import type { ChainOutcome, PieceResult } from "../pieces/chain_outcome.ts";
import type { ChainRelease } from "../pieces/chain_request.ts";
import type { ReleaseLoad } from "../load/release_load.ts";
import type { StreamOrigin } from "../streams/stream_origin.ts";
import type { ReaderPlace } from "../placement/reader_place.ts";
import type { DaemonAnswer, RequestReply } from "./request_reply.ts";
import type { RequestDependencies } from "./request_dependencies.ts";
import type { RetryCause } from "../retries/retry_cause.ts";
import type { RetryOutcome } from "../retries/retry_gate.ts";
import type { SpentRetries } from "../retries/spent_retries.ts";
import type { QuarantinedSubject } from "../quarantine/quarantined_subject.ts";
import type { ServingRequest } from "./serving_request.ts";

import { chainKeyOf } from "../pieces/chain_key.ts";
import { createChainStages } from "./create_chain_request.ts";
import { describePromptParts } from "./describe_prompt_parts.ts";
import { requestFingerprint } from "../quarantine/request_fingerprint.ts";
import { requestPriority } from "./request_priority.ts";
import { sharedParts } from "./shared_parts.ts";

/** Retry delay after a timeout; arbitrary, since the caller has no time left. */
const TIMED_OUT_RETRY_MILLISECONDS = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
/** Not 503, which tells callers that a later attempt may succeed. */
const QUARANTINED_STATUS = 502;
/** Shared, because each abort without a reason creates an error with its stack. */
const REQUEST_ENDED = new Error("The request ended");

/** Final outcome of a request, for the log and metrics. */
export type RequestOutcome = "served" | "refused" | "failed" | "abandoned";

/** Options of a `RequestRun`. */
export interface RequestRunOptions {
  readonly dependencies: RequestDependencies;
  readonly request: ServingRequest;
  readonly reply: RequestReply;
  readonly route: ServiceRoute;
  readonly service: string;
  readonly account: ClientAccount | undefined;
  readonly arrivedAt: number;
  /**
   * Endpoints that may run a repeatable request that another daemon relayed;
   * undefined for a request of a caller. A relayed request isn't relayed again.
   */
  readonly relayedAttempts: number | undefined;
  /** Software that began the stream, if the relaying daemon knows it. */
  readonly streamOrigin?: StreamOrigin | undefined;
  /** How long ago the relaying daemon began the stages; undefined if never. */
  readonly earlierStagesMilliseconds?: number | undefined;
  /** Time from the arrival until the relaying daemon ends, if it stops. */
  readonly senderEndsInMilliseconds?: number | undefined;
}

/**
 * State of one accepted request until its end. Tracks whether the request may
 * have run, and gives exactly one final answer.
 */
export class RequestRun {
  #options: RequestRunOptions;
  readonly deadlineAt: number;
  /** Identical for all attempts of the request, at any daemon. */
  readonly fingerprint: string;
  /** Ids of the prompt's parts that other requests may share. */
  readonly parts: readonly string[];
  /** Aborted when the caller disconnects or has its answer; stops all work. */
  readonly stop = new AbortController();
  /** Number of endpoints that may have run the request. */
  runs = 0;
  /** Number of sends, including refused ones. */
  sends = 0;
  /** Number of sends that reached an endpoint, including refused ones. */
  deliveries = 0;
  /** When its stages were first begun; undefined if never. */
  stagesBegunAt: number | undefined;
  /** Value of `sends` when the coordinator was last asked for a place. */
  sendsAtPlacementRequest: number | undefined;
  /**
   * When it was sent to the endpoint that answers it or may do so, apart from
   * hedges; undefined while it waits.
   */
  sentAt: number | undefined;
  /** Since when its caller has to take an event; undefined if it has to none. */
  writingSince: number | undefined;
  firstByteAt: number | undefined;
  /** Software that must continue the stream; undefined if any may begin it. */
  streamOrigin: StreamOrigin | undefined;
  /** Load of the endpoint that ran the request, for the coordinator. */
  releaseLoad: ReleaseLoad | undefined;
  #outcome: RequestOutcome | undefined;
  #results: readonly PieceResult[] = [];
  /** Results that it has read and that another send may read. */
  #retained: readonly PieceResult[] = [];
  #reservedRetry: SpentRetries | undefined;
  #place: ReaderPlace | undefined;
  #placementRetryMilliseconds: number | undefined;
  /** True while the place must still be released at the coordinator. */
  #hasUnreleasedPlace = false;
  readonly #teardowns: (() => void)[] = [];

  constructor(options: RequestRunOptions) {
    this.#options = options;
    if (options.streamOrigin !== undefined) {
      this.continueAt(options.streamOrigin);
    }
    const { request, route, arrivedAt, dependencies, reply, account } = options;
    this.stagesBegunAt = options.earlierStagesMilliseconds === undefined
      ? undefined
      : arrivedAt - options.earlierStagesMilliseconds;
    this.fingerprint = requestFingerprint({
      caller: account?.name ?? request.callerKey ?? "",
      ...request,
    });
    this.parts = sharedParts(request.promptParts);
    const { timeoutMilliseconds: timeout } = route;
    const wait = Math.min(
      request.deadlineMilliseconds ?? timeout,
      timeout,
    );
    this.deadlineAt = arrivedAt + wait;
    const remainingMilliseconds = this.remaining();
    this.#teardowns.push(
      dependencies.timer.registerTimeout(
        () => this.#handleTimeout(),
        remainingMilliseconds,
      ),
    );
    const onDisconnect = (): void => this.finish("abandoned", {});
    reply.disconnectSignal.addEventListener("abort", onDisconnect, {
      once: true,
    });
    this.#teardowns.push(() =>
      reply.disconnectSignal.removeEventListener("abort", onDisconnect)
    );
  }

  get options(): RequestRunOptions {
    return this.#options;
  }

  /** Pins the request to the software that began its stream. */
  continueAt(origin: StreamOrigin): void {
    this.streamOrigin = origin;
    const { route } = this.#options;
    const { service } = origin;
    if (!route.targets.some((target) => target.service === service)) return;
    this.#options = { ...this.#options, service };
  }

  get isOpen(): boolean {
    return this.#outcome === undefined;
  }

  get priority(): number {
    const { account, route } = this.options;
    return requestPriority(account?.priority, route.priority);
  }

  /** True if the request may run more than once. */
  get isRepeatable(): boolean {
    return this.options.route.kind === "idempotent" || this.isResumableStream;
  }

  /** True for a stream that may be taken up at another endpoint or daemon. */
  get isResumableStream(): boolean {
    const { kind, isResumable } = this.options.route;
    return kind === "stream" && isResumable;
  }

  /** True until the first event of a resumable stream. */
  get beginsResumableStream(): boolean {
    return this.isResumableStream && this.streamOrigin === undefined;
  }

  /** True if the request may run at one more endpoint. */
  get hasAttemptsLeft(): boolean {
    return this.isRepeatable && this.attemptsLeft > 0;
  }

  /** Number of endpoints that a repeatable request may still run at. */
  get attemptsLeft(): number {
    const { relayedAttempts, route } = this.options;
    return Math.min(route.attempts, relayedAttempts ?? route.attempts) -
      this.runs;
  }

  /** True if another daemon may serve the request, when this one can't. */
  get mayRelay(): boolean {
    return this.options.relayedAttempts === undefined;
  }

  /** True if the request must not be sent, since it would crash endpoints. */
  get isQuarantined(): boolean {
    return this.#quarantinedSubject !== undefined;
  }

  /**
   * True if endpoints crashed on the request's parts so often that sending it to
   * another one by itself could crash that one too.
   */
  get isSuspect(): boolean {
    return this.options.dependencies.quarantine.isSuspect(this);
  }

  /**
   * Reserves one more send, to be made at once, unless one is reserved. Sends are
   * free until one was delivered. A retry that is granted when `isNeeded` is false is given back.
   */
  reserveSend(
    cause: RetryCause,
    isNeeded: () => boolean = () => true,
  ): RetryOutcome | Promise<RetryOutcome> {
    if (this.deliveries === 0 || this.#reservedRetry !== undefined) {
      return "allowed";
    }
    const { dependencies, service } = this.options;
    return dependencies.retryGate.spend({
      service,
      cause,
      priority: this.priority,
      deadlineAt: this.deadlineAt,
      onSpent: (spent) => {
        if (isNeeded()) this.#reservedRetry = spent;
        else dependencies.retryGate.giveBack(spent);
      },
    });
  }

  /** Returns the retry of a send that was reserved and isn't made. */
  cancelReservedSend(): void {
    const retry = this.takeReservedRetry();
    if (retry === undefined) return;
    this.options.dependencies.retryGate.giveBack(retry);
  }

  /** Hands over the retry of the send that was reserved last, if it needed one. */
  takeReservedRetry(): SpentRetries | undefined {
    const retry = this.#reservedRetry;
    this.#reservedRetry = undefined;
    return retry;
  }

  get #quarantinedSubject(): QuarantinedSubject | undefined {
    return this.options.dependencies.quarantine.find(this);
  }

  /** Current monotonic time, milliseconds. */
  now(): number {
    return this.options.dependencies.timer.now();
  }

  /**
   * Milliseconds until this daemon or the one that relayed the request ends;
   * infinite while neither was told to stop.
   */
  remainingLifetime(): number {
    const { dependencies, arrivedAt, senderEndsInMilliseconds } = this.options;
    const { remainingMilliseconds } = dependencies.lifecycle;
    if (senderEndsInMilliseconds === undefined) return remainingMilliseconds;
    const senderEndsAt = arrivedAt + senderEndsInMilliseconds;
    return Math.min(remainingMilliseconds, senderEndsAt - this.now());
  }

  /** Expected time of the request itself until its first byte, milliseconds. */
  get expectedFirstByte(): number {
    const { dependencies, route } = this.options;
    return dependencies.firstByteEstimates.estimate(
      route.name,
      route.kind === "stream",
    );
  }

  /** Milliseconds until the request's deadline or its route's timeout. */
  remaining(): number {
    return this.deadlineAt - this.now();
  }

  /**
   * Milliseconds left of the route's latency objective, counted from the
   * arrival of this attempt; negative when the answer is late.
   */
  remainingObjective(): number {
    const { route, arrivedAt } = this.options;
    return route.objectiveMilliseconds - (this.now() - arrivedAt);
  }

  /**
   * Records that another daemon has begun its stages. Pieces that reach an
   * endpoint after that may have been sent before.
   */
  recordEarlierStages(begunAt: number): void {
    this.stagesBegunAt = Math.min(begunAt, this.stagesBegunAt ?? begunAt);
  }

  /** How long ago its stages were first begun; undefined if never. */
  get earlierStagesMilliseconds(): number | undefined {
    return this.stagesBegunAt === undefined
      ? undefined
      : this.now() - this.stagesBegunAt;
  }

  /** Stores results that are freed after the request has read them or ended. */
  holdResults(results: readonly PieceResult[], place?: ReaderPlace): void {
    this.releaseResults();
    this.#endRetention(results);
    this.#results = results;
    this.#setPlace(place);
  }

  /** Stores the coordinator's place, or its retry delay. */
  applyPlacement(outcome: ChainOutcome): void {
    this.#placementRetryMilliseconds = undefined;
    if (outcome.type === "done") this.#setPlace(outcome.place);
    else if (outcome.reason === "over_limit") {
      this.#placementRetryMilliseconds = outcome.retryAfterMilliseconds;
    }
  }

  /**
   * Milliseconds until the endpoints' limits allow more requests, according to
   * the coordinator; undefined if its last answer wasn't `over_limit`.
   */
  get placementRetryMilliseconds(): number | undefined {
    return this.#placementRetryMilliseconds;
  }

  /** Endpoint chosen by the coordinator; undefined if there is none. */
  get place(): ReaderPlace | undefined {
    return this.#place;
  }

  /** Handles of the results that the request reads. */
  get resultHandles(): readonly string[] {
    return this.#results.map(({ handle }) => handle);
  }

  /**
   * Releases results that an endpoint has read. Those of a stream that may be
   * taken up at another endpoint are retained while there is room.
   */
  releaseReadResults(): void {
    const mayReadAgain = this.isOpen && this.isResumableStream &&
      this.hasAttemptsLeft;
    if (!mayReadAgain || this.#results.length === 0) {
      this.releaseResults();
      return;
    }
    this.#retained = this.#results;
    const { route, request } = this.options;
    this.#release({
      retainFor: chainKeyOf({
        kind: route.name,
        pieceKey: request.pieceKey,
        stages: createChainStages(this),
      }),
    });
  }

  /** Has results freed that are retained for this request. */
  releaseRetainedResults(): void {
    this.#endRetention([]);
  }

  releaseResults(): void {
    this.#release({});
  }

  /** Frees retained results, apart from those that are held again. */
  #endRetention(held: readonly PieceResult[]): void {
    const handles = new Set(held.map(({ handle }) => handle));
    const results = this.#retained.filter(({ handle }) => !handles.has(handle));
    this.#retained = [];
    if (results.length === 0) return;
    // The end of the attempt was reported when its results were read.
    this.options.dependencies.chainRunner.release({ attemptId: "", results });
  }

  #release(fields: Pick<ChainRelease, "retainFor">): void {
    const results = this.#results;
    if (results.length === 0 && !this.#hasUnreleasedPlace) return;
    this.#results = [];
    this.#hasUnreleasedPlace = false;
    const attemptId = this.options.request.attemptId ?? "";
    const load = this.releaseLoad;
    this.options.dependencies.chainRunner.release(
      load === undefined
        ? { attemptId, results, ...fields }
        : { attemptId, results, load, ...fields },
    );
  }

  /**
   * Fails the request with an answer of the daemon. A status that declares that
   * the request didn't run is only sent while that is certain.
   */
  fail(
    reason: string,
    retryAfterMilliseconds: number,
    unknownStatus: 502 | 504 = 502,
  ): void {
    if (!this.isOpen) return;
    const answer: DaemonAnswer = this.runs === 0
      ? { status: 503, retryAfterMilliseconds, message: reason }
      : { status: unknownStatus, message: reason };
    this.#reply(answer);
    this.finish(this.runs === 0 ? "refused" : "failed", {
      reason,
      status: answer.status,
      retryAfterMilliseconds: answer.retryAfterMilliseconds,
    });
  }

  /** Gives another daemon's refusal as the final answer. */
  refuse(answer: DaemonAnswer): void {
    if (!this.isOpen) return;
    if (this.firstByteAt !== undefined) {
      this.abort(answer.message);
      return;
    }
    this.#reply(answer);
    const { status, message: reason } = answer;
    this.finish("refused", { reason, status });
  }

  /**
   * Fails a quarantined request permanently. The status neither declares that
   * the request didn't run, since earlier attempts did, nor invites a retry.
   */
  rejectQuarantined(): void {
    if (!this.isOpen) return;
    const subject = this.#quarantinedSubject;
    const reason = subject?.type === "parts"
      ? `quarantined: prompt parts ${subject.parts.join(",")} crash endpoints`
      : "quarantined: it crashed the endpoints that ran it";
    if (this.firstByteAt !== undefined) {
      this.abort(reason);
      return;
    }
    const status = QUARANTINED_STATUS;
    this.#reply({ status, message: reason });
    this.finish("refused", { reason, status });
  }

  #reply(answer: DaemonAnswer): void {
    const { earlierStagesMilliseconds: stagesMilliseconds } = this;
    const isDelivered = this.deliveries > 0;
    this.options.reply.refuse(answer, { stagesMilliseconds, isDelivered });
  }

  /** Aborts an answer that has begun and can't be completed. */
  abort(reason: string): void {
    if (!this.isOpen) return;
    const { reply, dependencies, service } = this.options;
    reply.abort();
    dependencies.metrics.countBrokenAnswer(service, kindOf(reason));
    this.finish("failed", { reason });
  }

  /** Ends the run and stops all work for it. Later calls are ignored. */
  finish(
    end: RequestOutcome,
    fields: Readonly<Record<string, string | number | undefined>>,
  ): void {
    if (!this.isOpen) return;
    this.#outcome = end;
    for (const teardown of this.#teardowns) teardown();
    this.stop.abort(REQUEST_ENDED);
    this.cancelReservedSend();
    this.releaseResults();
    this.releaseRetainedResults();
    if (end === "served") void this.#recordAnswerTime();
    this.#recordOutcome(end, fields);
  }

  /** Records the answer's time, unless it is only the rest of a stream. */
  async #recordAnswerTime(): Promise<void> {
    const { reply, request, dependencies, route, arrivedAt } = this.#options;
    if (request.lastEventId !== undefined || !await reply.sent) return;
    const { answerTimes, sendTimes } = dependencies;
    const now = this.now();
    answerTimes.record(route.name, now - arrivedAt);
    if (this.sentAt === undefined) return;
    sendTimes.record(route.name, now - this.sentAt);
  }

  #setPlace(place: ReaderPlace | undefined): void {
    this.#place = place;
    this.#hasUnreleasedPlace = place !== undefined;
    if (!this.isOpen) this.releaseResults();
  }

  #handleTimeout(): void {
    if (this.firstByteAt !== undefined) {
      this.abort("timed out midway");
      return;
    }
    this.fail("timed out", TIMED_OUT_RETRY_MILLISECONDS, 504);
  }

  #recordOutcome(
    end: RequestOutcome,
    fields: Readonly<Record<string, string | number | undefined>>,
  ): void {
    const { dependencies, request, route, service, account, arrivedAt } =
      this.options;
    const { stopRequestedAt } = dependencies.lifecycle;
    const now = this.now();
    dependencies.log.info("request ended", {
      attempt: request.attemptId,
      fingerprint: this.fingerprint,
      parts: describePromptParts(request.promptParts),
      outcome: end,
      route: route.name,
      service,
      account: account?.name,
      configuration: dependencies.configuration.version,
      tookMilliseconds: Math.round(now - arrivedAt),
      firstByteMilliseconds: this.firstByteAt === undefined
        ? undefined
        : Math.round(this.firstByteAt - arrivedAt),
      runs: this.runs,
      sends: this.sends,
      isRelayed: this.mayRelay ? undefined : true,
      sinceStopMilliseconds: stopRequestedAt === undefined
        ? undefined
        : Math.round(arrivedAt - stopRequestedAt),
      ...fields,
    });
    dependencies.metrics.countRequest({
      account: account?.name ?? "",
      route: route.name,
      outcome: end,
      seconds: (now - arrivedAt) / MILLISECONDS_PER_SECOND,
      firstByteSeconds: this.firstByteAt === undefined
        ? undefined
        : (this.firstByteAt - arrivedAt) / MILLISECONDS_PER_SECOND,
    });
  }
}

/** A reason without the ids and messages that may follow it. */
function kindOf(reason: string): string {
  return reason.split(":", 1)[0] ?? reason;
}
