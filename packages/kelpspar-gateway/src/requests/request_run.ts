import type { ServiceRoute } from "../configuration/service_route.ts";
import type { ClientAccount } from "../configuration/serving_configuration.ts";
import type { ChainOutcome, PieceResult } from "../pieces/chain_outcome.ts";
import type { ReaderPlace } from "../placement/reader_place.ts";
import type { OwnAnswer, RequestReply } from "./request_reply.ts";
import type { RequestParts } from "./request_dependencies.ts";
import type { ServingRequest } from "./serving_request.ts";

import { requestFingerprint } from "../quarantine/request_fingerprint.ts";
import { requestPriority } from "./request_priority.ts";

/** A timed-out caller has no time left; any wait is as good, milliseconds. */
const TIMED_OUT_RETRY_MILLISECONDS = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
/** Callers take 503 for a promise that a later attempt may be served. */
const REJECTED_STATUS = 502;

/** How a request ended, for the log and metrics. */
export type RequestEnd = "served" | "refused" | "failed" | "abandoned";

/** What a run begins with. */
export interface RequestRunOptions {
  readonly parts: RequestParts;
  readonly request: ServingRequest;
  readonly reply: RequestReply;
  readonly route: ServiceRoute;
  readonly service: string;
  readonly account: ClientAccount | undefined;
  readonly arrivedAt: number;
}

/**
 * One request from its acceptance to its end: what is known of whether it ran,
 * and the one final answer.
 */
export class RequestRun {
  readonly options: RequestRunOptions;
  readonly deadlineAt: number;
  /** The same for each repeat of the request, whoever takes it. */
  readonly fingerprint: string;
  /** Ends all work for the request: its caller is gone or it has its answer. */
  readonly stop = new AbortController();
  /** Endpoints that may have run it. */
  runs = 0;
  /** Times that it was sent, refusals included. */
  sends = 0;
  /** Sends that came to an endpoint, refusals included. */
  arrivals = 0;
  /** Sends that had been made when the coordinator was asked for a place. */
  placeAskedAt: number | undefined;
  firstByteAt: number | undefined;
  #end: RequestEnd | undefined;
  #results: readonly PieceResult[] = [];
  #place: ReaderPlace | undefined;
  #placeWait: number | undefined;
  /** The place was given and its reading not reported yet. */
  #isPlaceOpen = false;
  readonly #teardowns: (() => void)[] = [];

  constructor(options: RequestRunOptions) {
    this.options = options;
    const { request, route, arrivedAt, parts, reply, account } = options;
    this.fingerprint = requestFingerprint({
      caller: account?.name ?? request.callerKey ?? "",
      ...request,
    });
    const { timeoutMilliseconds: timeout } = route;
    const wait = Math.min(request.deadlineMilliseconds ?? timeout, timeout);
    this.deadlineAt = arrivedAt + wait;
    const left = this.remaining();
    this.#teardowns.push(
      parts.timer.registerTimeout(() => this.#timedOut(), left),
    );
    const onGone = (): void => this.finish("abandoned", {});
    reply.gone.addEventListener("abort", onGone, { once: true });
    this.#teardowns.push(() => reply.gone.removeEventListener("abort", onGone));
  }

  get isOpen(): boolean {
    return this.#end === undefined;
  }

  get priority(): number {
    const { account, route } = this.options;
    return requestPriority(account?.priority, route.priority);
  }

  /** True while it may be sent to one more endpoint after this one ran it. */
  get hasAttemptsLeft(): boolean {
    const { kind, isResumable, attempts } = this.options.route;
    const isRepeatable = kind === "idempotent" ||
      (kind === "stream" && isResumable);
    return isRepeatable && this.runs < attempts;
  }

  /** True when it crashed endpoints and must not be sent to any other. */
  get isQuarantined(): boolean {
    return this.options.parts.quarantine.has(this.fingerprint);
  }

  /** Monotonic milliseconds. */
  now(): number {
    return this.options.parts.timer.now();
  }

  /** Milliseconds until the request's deadline or its route's timeout. */
  remaining(): number {
    return this.deadlineAt - this.now();
  }

  /**
   * Milliseconds until the answer is late, counted from this attempt; below 0
   * when it is late.
   */
  objectiveLeft(): number {
    const { route, arrivedAt } = this.options;
    return route.objectiveMilliseconds - (this.now() - arrivedAt);
  }

  /** Results to be freed once the request has read them or ended. */
  holdResults(results: readonly PieceResult[], place?: ReaderPlace): void {
    this.releaseResults();
    this.#results = results;
    this.#putPlace(place);
  }

  /** Takes in where it goes, or when it may come back. */
  takePlacing(outcome: ChainOutcome): void {
    this.#placeWait = undefined;
    if (outcome.type === "done") this.#putPlace(outcome.place);
    else if (outcome.reason === "over_limit") {
      this.#placeWait = outcome.retryAfterMilliseconds;
    }
  }

  /**
   * Milliseconds until the endpoints take more, by the coordinator's last word;
   * undefined unless they had got what they take.
   */
  get placeWait(): number | undefined {
    return this.#placeWait;
  }

  /** Where the request is best read; undefined when that isn't known. */
  get place(): ReaderPlace | undefined {
    return this.#place;
  }

  /** Handles of the results that the request reads. */
  get heldHandles(): readonly string[] {
    return this.#results.map(({ handle }) => handle);
  }

  releaseResults(): void {
    const results = this.#results;
    if (results.length === 0 && !this.#isPlaceOpen) return;
    this.#results = [];
    this.#isPlaceOpen = false;
    const attemptId = this.options.request.attemptId ?? "";
    this.options.parts.chains.release({ attemptId, results });
  }

  /**
   * Gives a final answer of the daemon's own. Statuses that promise that the
   * request didn't run are only given while that is certain.
   */
  giveUp(
    reason: string,
    retryAfterMilliseconds: number,
    unknownStatus: 502 | 504 = 502,
  ): void {
    if (!this.isOpen) return;
    const answer: OwnAnswer = this.runs === 0
      ? { status: 503, retryAfterMilliseconds, message: reason }
      : { status: unknownStatus, message: reason };
    this.options.reply.refuse(answer);
    this.finish(this.runs === 0 ? "refused" : "failed", {
      reason,
      status: answer.status,
      retryAfterMilliseconds: answer.retryAfterMilliseconds,
    });
  }

  /**
   * Fails a quarantined request for good. Says nothing of whether it ran, since
   * earlier attempts did, and doesn't invite the caller back.
   */
  rejectQuarantined(): void {
    if (!this.isOpen) return;
    const reason = "quarantined: it crashed the endpoints that ran it";
    if (this.firstByteAt !== undefined) {
      this.breakOff(reason);
      return;
    }
    const status = REJECTED_STATUS;
    this.options.reply.refuse({ status, message: reason });
    this.finish("refused", { reason, status });
  }

  /** Ends an answer that has begun and can't be completed. */
  breakOff(reason: string): void {
    if (!this.isOpen) return;
    this.options.reply.breakOff();
    this.finish("failed", { reason });
  }

  /** Ends the run; all work for it stops. Later ends are ignored. */
  finish(
    end: RequestEnd,
    fields: Readonly<Record<string, string | number | undefined>>,
  ): void {
    if (!this.isOpen) return;
    this.#end = end;
    for (const teardown of this.#teardowns) teardown();
    this.stop.abort();
    this.releaseResults();
    this.#record(end, fields);
  }

  #putPlace(place: ReaderPlace | undefined): void {
    this.#place = place;
    this.#isPlaceOpen = place !== undefined;
    if (!this.isOpen) this.releaseResults();
  }

  #timedOut(): void {
    if (this.firstByteAt !== undefined) {
      this.breakOff("timed out midway");
      return;
    }
    this.giveUp("timed out", TIMED_OUT_RETRY_MILLISECONDS, 504);
  }

  #record(
    end: RequestEnd,
    fields: Readonly<Record<string, string | number | undefined>>,
  ): void {
    const { parts, request, route, service, account, arrivedAt } = this.options;
    const now = this.now();
    parts.log.info("request ended", {
      attempt: request.attemptId,
      fingerprint: this.fingerprint,
      outcome: end,
      route: route.name,
      service,
      account: account?.name,
      configuration: parts.configuration.version,
      tookMilliseconds: Math.round(now - arrivedAt),
      firstByteMilliseconds: this.firstByteAt === undefined
        ? undefined
        : Math.round(this.firstByteAt - arrivedAt),
      runs: this.runs,
      sends: this.sends,
      ...fields,
    });
    parts.metrics.countRequest({
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
