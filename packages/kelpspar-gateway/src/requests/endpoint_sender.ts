import type { EndpointAnswer } from "./endpoint_call.ts";
import type { EndpointChoice } from "../endpoints/choose_endpoint.ts";
import type { EndpointState } from "../endpoints/endpoint_state.ts";
import type { LogFields } from "../log/gateway_log.ts";
import type { RequestRun } from "./request_run.ts";
import type { RetryOutcome } from "../retries/retry_gate.ts";
import type { SendResult } from "./send_result.ts";
import type { StreamRelay } from "./stream_relay.ts";
import {
  chooseRequestEndpoint,
  mayContinue,
} from "./choose_request_endpoint.ts";
import { auditSend } from "./send_audit.ts";
import { isStreamed } from "./send_result.ts";
import { firstSuccessful, isOverdue } from "./hedge.ts";
import { describeEndpointLoad } from "../load/describe_endpoint_load.ts";
import { createReleaseLoad } from "../load/create_release_load.ts";
import { expectedCompletion } from "../load/expected_completion.ts";

/** Maximum number of endpoints that a request is sent to. */
const MAXIMUM_SENDS = 6;
/**
 * A repeatable call is hedged after this multiple of the expected first byte
 * time, early enough for the second endpoint to answer on time.
 */
const HEDGE_DELAY_FACTOR = 2;
const MINIMUM_HEDGE_DELAY_MILLISECONDS = 40;
/**
 * The answer of a resumable stream is late if it hasn't begun this long after
 * `HEDGE_DELAY_FACTOR` times its expected time.
 */
const FIRST_EVENT_MARGIN_MILLISECONDS = 1_500;

/** Options of an `EndpointSender`. */
export interface EndpointSenderOptions {
  readonly relay: StreamRelay;
  /** Whether something keeps the request from being sent once more. */
  readonly isPrevented: () => boolean;
}

/** Sends one request to endpoints and records their health and latency. */
export class EndpointSender {
  /** Handles of the results that the request reads. */
  inputs: readonly string[] | undefined;
  readonly #run: RequestRun;
  readonly #relay: StreamRelay;
  readonly #isPrevented: () => boolean;
  readonly #triedEndpointIds = new Set<string>();

  constructor(run: RequestRun, options: EndpointSenderOptions) {
    this.#run = run;
    this.#relay = options.relay;
    this.#isPrevented = options.isPrevented;
  }

  get hasTriedEndpoint(): boolean {
    return this.#triedEndpointIds.size > 0;
  }

  /** True if an untried endpoint with a rate limit is left. */
  get hasLimitedEndpoint(): boolean {
    const { rateLimiter, timer } = this.#run.options.dependencies;
    const now = timer.now();
    return this.#unpausedEndpoints(now).some((endpoint) =>
      rateLimiter.limitOf(endpoint, now) !== undefined
    );
  }

  /** Expected time to the first byte of an answer, milliseconds. */
  get expectedMilliseconds(): number {
    return this.#run.expectedFirstByte;
  }

  /** True if an untried endpoint is left that didn't request a pause. */
  get hasUnpausedEndpoint(): boolean {
    return this.#unpausedEndpoints(this.#run.now()).length > 0;
  }

  /** Untried endpoints that didn't request a pause. */
  #unpausedEndpoints(now: number): readonly EndpointState[] {
    const { dependencies, service } = this.#run.options;
    return dependencies.endpointRegistry.availableFor(service).filter((
      endpoint,
    ) =>
      !this.#triedEndpointIds.has(endpoint.entry.id) &&
      mayContinue(this.#run, endpoint) &&
      endpoint.remainingPauseMilliseconds(now) === 0
    );
  }

  chooseEndpoint(): EndpointChoice | undefined {
    return chooseRequestEndpoint(this.#run, this.#triedEndpointIds);
  }

  /** True once the request was sent to as many endpoints as it may be. */
  get hasSentOften(): boolean {
    return this.#run.sends >= MAXIMUM_SENDS;
  }

  /**
   * Sends the request; a repeatable call that is slow is hedged once. `signal`
   * gives the call up for one that was sent beside it.
   */
  async send(
    choice: EndpointChoice,
    signal?: AbortSignal,
  ): Promise<SendResult> {
    const run = this.#run;
    // A stream that goes on elsewhere still lasts from its first send.
    if (run.firstByteAt === undefined) run.sentAt = run.now();
    const result = await this.#sendHedged(choice, signal);
    const isOver = result.answer.type !== "answered" &&
      signal?.aborted !== true;
    if (isOver && run.firstByteAt === undefined) run.sentAt = undefined;
    return result;
  }

  /** Sends a stream while the answer of another endpoint is held. */
  async sendBeside(
    choice: EndpointChoice,
    signal: AbortSignal,
  ): Promise<SendResult> {
    return await this.#sendTo(choice, signal);
  }

  /** Time after which the answer of a stream should have begun, milliseconds. */
  get lateAnswerMilliseconds(): number {
    return this.expectedMilliseconds * HEDGE_DELAY_FACTOR +
      FIRST_EVENT_MARGIN_MILLISECONDS;
  }

  async #sendHedged(
    choice: EndpointChoice,
    signal: AbortSignal | undefined,
  ): Promise<SendResult> {
    const { dependencies, route } = this.#run.options;
    const first = this.#sendTo(choice, signal);
    if (route.kind !== "idempotent") return await first;
    const expected = Math.max(
      this.expectedMilliseconds,
      this.#expectedCallTime(choice.endpoint),
    );
    const wait = Math.max(
      MINIMUM_HEDGE_DELAY_MILLISECONDS,
      expected * HEDGE_DELAY_FACTOR,
    );
    const isLate = await isOverdue(first, wait, dependencies.timer);
    const run = this.#run;
    const mayHedge = isLate && run.isOpen && run.hasAttemptsLeft &&
      !this.#isPrevented();
    if (!mayHedge) return await first;
    const second = this.chooseEndpoint();
    // At an endpoint that takes longer than the wait so far, the hedge would be
    // work that is done twice without an answer that comes sooner.
    const isSooner = second !== undefined &&
      this.#expectedCallTime(second.endpoint) < wait;
    if (!isSooner || this.hasSentOften) return await first;
    const outcome = await this.#reserveHedge(first);
    // The endpoint's place may be gone, or the request held back meanwhile.
    const hedge = outcome === "allowed_after_wait"
      ? this.chooseEndpoint()
      : second;
    const isUseless = outcome === "refused" || hedge === undefined ||
      !run.isOpen || this.#isPrevented();
    if (isUseless) {
      run.cancelReservedSend();
      return await first;
    }
    return await firstSuccessful(first, this.#sendTo(hedge));
  }

  /** Reserves a hedge, unless the first answer comes while it waits. */
  async #reserveHedge(first: Promise<SendResult>): Promise<RetryOutcome> {
    let isAnswered = false;
    const answered = first.then((): RetryOutcome => {
      isAnswered = true;
      return "refused";
    });
    return await Promise.race([
      this.#run.reserveSend("hedge", () => !isAnswered),
      answered,
    ]);
  }

  /**
   * Expected time of a call that is sent to an endpoint now, milliseconds; 0 if
   * endpoints of the service don't report their load.
   */
  #expectedCallTime({ load }: EndpointState): number {
    const { dependencies, route } = this.#run.options;
    const now = dependencies.timer.now();
    if (!load.isActive) return 0;
    return (load.service.nominalTimes.of(route.name) ?? 0) *
      expectedCompletion({
        slowness: load.slowness(now),
        queue: load.expectedQueue(now),
        slots: load.slots,
      });
  }

  /** Records a success of the endpoint and its time to first byte. */
  recordFirstByte(result: SendResult): void {
    const { dependencies, route } = this.#run.options;
    const now = dependencies.timer.now();
    const isStream = route.kind === "stream";
    const firstByteMilliseconds = now - result.sentAt;
    result.endpoint.succeeded(
      firstByteMilliseconds / Math.max(1, this.expectedMilliseconds),
      now,
      result.sentAt,
    );
    this.#run.releaseLoad = createReleaseLoad(result.endpoint.load, {
      sentAt: result.sentAt,
      now,
    });
    dependencies.firstByteEstimates.record(
      route.name,
      firstByteMilliseconds,
      isStream,
    );
  }

  logFailure(result: SendResult, reason: string): void {
    const { dependencies, request, service } = this.#run.options;
    const now = dependencies.timer.now();
    dependencies.log.warn("endpoint call failed", {
      attempt: request.attemptId,
      fingerprint: this.#run.fingerprint,
      service,
      endpoint: result.endpoint.entry.id,
      reason,
      tookMilliseconds: Math.round(now - result.sentAt),
      runs: this.#run.runs,
      isSetAside: result.endpoint.isSetAside(now),
    });
  }

  async #sendTo(
    choice: EndpointChoice,
    signal?: AbortSignal,
  ): Promise<SendResult> {
    const run = this.#run;
    const { dependencies, request, service, account } = run.options;
    const { endpoint, home } = choice;
    const sentAt = dependencies.timer.now();
    const retry = run.takeReservedRetry();
    this.#triedEndpointIds.add(endpoint.entry.id);
    this.#logSend(choice);
    auditSend(run, endpoint);
    run.sends++;
    run.deliveries++;
    run.runs++;
    endpoint.inFlight++;
    const endCall = dependencies.concurrency.startCall(endpoint);
    const abortController = new AbortController();
    const onStop = (): void => abortController.abort(run.stop.signal.reason);
    const stopSignals = [run.stop.signal, endpoint.ended, signal];
    for (const stopSignal of stopSignals) {
      stopSignal?.addEventListener("abort", onStop, { once: true });
    }
    const endOverdueTimeout = this.#registerOverdueTimeout(endpoint);
    const endLoadCall = this.#startLoadCall(endpoint);
    const answer = await dependencies.endpoints.send({
      endpoint: endpoint.entry,
      request,
      remainingMilliseconds: Math.max(1, Math.floor(run.remaining())),
      account: account?.name,
      priority: run.priority,
      inputs: this.inputs,
      lastEventId: this.#relay.lastEventId,
      promptSource: home?.entry.address,
      signal: abortController.signal,
    });
    const isSample = endOverdueTimeout(answer);
    for (const stopSignal of stopSignals) {
      stopSignal?.removeEventListener("abort", onStop);
    }
    const didNotRun = answer.type === "not_run" ||
      answer.type === "unreachable";
    const release = (): void => {
      endpoint.inFlight--;
      endCall(!didNotRun);
    };
    const isStream = isStreamed(answer, run.options.route);
    if (!isStream) release();
    endLoadCall(answer, isSample);
    if (didNotRun) run.runs--;
    if (answer.type === "unreachable") {
      run.deliveries--;
      if (retry !== undefined) dependencies.retryGate.giveBack(retry);
    }
    dependencies.metrics.countEndpointCall(service, answer.type);
    const answeredAt = answer.type === "answered"
      ? dependencies.timer.now()
      : undefined;
    return {
      endpoint,
      answer,
      sentAt,
      answeredAt,
      release: isStream ? release : () => {},
    };
  }

  /**
   * Measures the call for the endpoint's load, whether or not its answer is
   * used; returns what ends the measurement. The time to the first event of a
   * stream depends on its prompt, which only the coordinator knows.
   */
  #startLoadCall(
    { load }: EndpointState,
  ): (answer: EndpointAnswer, isSample: boolean) => void {
    const { dependencies: { timer }, route } = this.#run.options;
    if (route.kind === "stream") return () => {};
    const call = load.startCall(route.name, timer.now());
    return (answer, isSample) => {
      const isAnswered = answer.type === "answered" && answer.status < 500;
      load.endCall(call, { isAnswered, isSample, now: timer.now() });
    };
  }

  /**
   * Counts a long overdue answer as a failure while the call goes on. Otherwise
   * an endpoint that accepts requests without answering would get more of them
   * until the deadline of the first. Returns what ends the timeout and tells
   * whether the call's time shows how fast the endpoint is.
   */
  #registerOverdueTimeout(
    endpoint: EndpointState,
  ): (answer: EndpointAnswer) => boolean {
    const { dependencies, route, request } = this.#run.options;
    const { timer } = dependencies;
    const startedAt = timer.now();
    const after = dependencies.firstByteEstimates.overdueAfter(
      route.name,
      route.kind === "stream",
    );
    let isOverdue = false;
    const stopTimer = timer.registerTimeout(() => {
      isOverdue = true;
      endpoint.callOverdue(timer.now());
      dependencies.log.warn("endpoint answer overdue", {
        attempt: request.attemptId,
        endpoint: endpoint.entry.id,
        afterMilliseconds: Math.round(after),
        isSetAside: endpoint.isSetAside(timer.now()),
      });
    }, after);
    return ({ type }) => {
      stopTimer();
      if (!isOverdue) return true;
      const isAnswered = type === "answered";
      const now = timer.now();
      return endpoint.overdueCallEnded({ isAnswered, startedAt, now });
    };
  }

  #logSend({ endpoint, home, isPlaced }: EndpointChoice): void {
    const { dependencies, request, service } = this.#run.options;
    const now = dependencies.timer.now();
    dependencies.log.info("request sent", {
      attempt: request.attemptId,
      fingerprint: this.#run.fingerprint,
      service,
      endpoint: endpoint.entry.id,
      version: endpoint.entry.version,
      home: home?.entry.id,
      isPlaced: isPlaced === true,
      limitPerSecond: dependencies.rateLimiter.limitOf(endpoint, now),
      inFlight: endpoint.inFlight,
      slowness: Number(endpoint.expectedSlowness(now).toFixed(2)),
      ...(endpoint.load.isActive
        ? describeEndpointLoad(endpoint.load, now)
        : {}),
      isSetAside: endpoint.isSetAside(now),
      tried: this.#triedEndpointIds.size,
      remainingMilliseconds: Math.round(this.#run.remaining()),
      ...this.#describeShutdown(),
      lastEventId: this.#relay.lastEventId,
      resumedAttempt: request.resumedAttemptId,
    });
  }

  /** Time that is left of the grace period, and what the answer may need. */
  #describeShutdown(): LogFields {
    const { dependencies, route } = this.#run.options;
    const lifetime = this.#run.remainingLifetime();
    if (!Number.isFinite(lifetime)) return {};
    const estimate = dependencies.sendTimes.estimate(route.name);
    return {
      daemonEndsInMilliseconds: Math.round(lifetime),
      answerMilliseconds: estimate === undefined
        ? undefined
        : Math.round(estimate),
    };
  }
}
