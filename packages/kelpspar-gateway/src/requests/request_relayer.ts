import type { DaemonAddress } from "../fleet/fleet_digest.ts";
import type { RelayAnswer } from "../relay/relay_answer.ts";
import type { PeerRelayCall } from "../relay/peer_relay.ts";
import type { RelayRefusal } from "../relay/relay_refusal.ts";
import type { RequestRun } from "./request_run.ts";
import type { ShutdownAdmission } from "./shutdown_admission.ts";
import type { ReceivedAnswer } from "./send_result.ts";
import type { StreamContinuation } from "./stream_continuation.ts";
import type { StreamForwarder } from "./stream_forwarder.ts";
import type { StreamRelay } from "./stream_relay.ts";
import type { PeerResult } from "./peer_result.ts";
import { reportBodyLimit } from "../exchange/report_body_limit.ts";
import { mayContinue } from "./choose_request_endpoint.ts";
import { readAnswerBody } from "./read_answer_body.ts";
import { NO_ENDPOINT_RETRY_MILLISECONDS } from "./retry_waits.ts";
import { SPENT_BUDGET_REASON } from "./spent_budget_reason.ts";
import { PeerPlaces } from "./peer_places.ts";
import { closePeerAnswer, isSuccessfulPeer } from "./peer_result.ts";
import { isStreamed } from "./send_result.ts";
import { StreamFailover } from "./stream_failover.ts";
import { lateRelayedAnswerMilliseconds } from "./stream_timeouts.ts";

/** Daemons that one request is relayed to at most. */
const MAXIMUM_PEERS = 3;
/** Statuses by which a daemon declares that a request never runs. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([429, 503]);
/** Statuses by which a daemon declares that a request may have run. */
const UNKNOWN_STATUSES: ReadonlySet<number> = new Set([502, 504]);

/** Options of a `RequestRelayer`. */
export interface RequestRelayerOptions {
  readonly run: RequestRun;
  readonly streamRelay: StreamRelay;
  readonly streamForwarder: StreamForwarder;
  readonly continuation: Pick<StreamContinuation, "resolve">;
  readonly shutdown: Pick<ShutdownAdmission, "findArrivalRefusal">;
  /** Fails the request, or returns an earlier answer of an endpoint. */
  readonly fail: (reason: string, retryAfterMilliseconds: number) => void;
}

/** Whether another daemon may be asked, or the request has its answer. */
type RelayStep = "again" | "ended";

/**
 * Has other daemons serve a request while this one is isolated or has no place
 * at brittle endpoints. A relayed request counts as a run at each endpoint that
 * the other daemon may use, since it may have reached them.
 */
export class RequestRelayer {
  readonly #options: RequestRelayerOptions;
  readonly #tried = new Set<string>();
  #retryAfterMilliseconds: number | undefined;

  constructor(options: RequestRelayerOptions) {
    this.#options = options;
  }

  /** Relays until the request ends; false if this daemon has to serve it. */
  async run(): Promise<boolean> {
    const { run } = this.#options;
    const { relay } = run.options.dependencies;
    while (run.isOpen) {
      if (this.#isServedHere) return false;
      const peer = this.#choosePeer();
      if (peer === undefined && this.#tried.size === 0 && !relay.isNeeded) {
        return false;
      }
      // Another daemon runs the stages again.
      run.releaseResults();
      if (await this.#relayTo(peer) === "ended") return true;
    }
    return true;
  }

  /** True if this daemon reaches endpoints and has a place at them. */
  get #isServedHere(): boolean {
    const { relay } = this.#options.run.options.dependencies;
    return !relay.isNeeded && this.#quotaHolders === undefined;
  }

  get #hasAskedOften(): boolean {
    return this.#tried.size >= MAXIMUM_PEERS;
  }

  #choosePeer(): DaemonAddress | undefined {
    const { relay } = this.#options.run.options.dependencies;
    return this.#hasAskedOften
      ? undefined
      : relay.choosePeer(this.#tried, this.#quotaHolders);
  }

  /** Daemons with a place at brittle endpoints; undefined if any may serve. */
  get #quotaHolders(): ReadonlySet<string> | undefined {
    const { dependencies, service } = this.#options.run.options;
    return dependencies.relay.isNeeded
      ? undefined
      : dependencies.concurrency.quotaHolders(service);
  }

  async #relayTo(peer: DaemonAddress | undefined): Promise<RelayStep> {
    const { run } = this.#options;
    if (peer === undefined) return this.#fail();
    if (await run.reserveSend("failed") === "refused") {
      return this.#failWithoutBudget();
    }
    if (!run.isOpen) {
      run.cancelReservedSend();
      return "ended";
    }
    // The other daemon runs the request from its stages on.
    const refusal = this.#options.shutdown.findArrivalRefusal(run);
    if (refusal !== undefined) {
      run.cancelReservedSend();
      this.#options.fail(refusal.reason, refusal.retryAfterMilliseconds);
      return "ended";
    }
    return await this.#handle(await this.#sendHeld(peer));
  }

  /**
   * Relays the request. While the answer of a repeatable one is late, or its
   * daemon is silent, another daemon is asked beside it.
   */
  async #sendHeld(peer: DaemonAddress): Promise<PeerResult> {
    const { run } = this.#options;
    const { route, dependencies: { timer } } = run.options;
    const failover = this.#createFailover(peer);
    const found = failover.found();
    const startedAt = run.now();
    const askAnother = (): void => {
      if (!run.isOpen || !run.hasAttemptsLeft) return;
      run.recordEarlierStages(startedAt);
      failover.start("late_answer");
    };
    const stopTimer = run.isResumableStream
      ? timer.registerTimeout(askAnother, lateRelayedAnswerMilliseconds(route))
      : () => {};
    const replaced = new AbortController();
    const held = this.#sendTo(peer, {
      signal: replaced.signal,
      onStalled: askAnother,
    });
    const first = await Promise.race([held, found]);
    stopTimer();
    if (first === "found") {
      replaced.abort();
      const result = await held;
      return this.#replace(result, await failover.take());
    }
    if (isSuccessfulPeer(first) || !run.isOpen) {
      failover.cancel();
      return first;
    }
    return this.#replace(first, await failover.take());
  }

  /** Gives up an answer for the one that a failover found, if it found any. */
  #replace(result: PeerResult, next: PeerResult | undefined): PeerResult {
    if (next === undefined) return result;
    closePeerAnswer(result);
    return next;
  }

  /**
   * Relays the request beside the answer of another daemon, unless the one that
   * is asked is silent too.
   */
  async #sendBeside(
    peer: DaemonAddress,
    signal: AbortSignal,
  ): Promise<PeerResult> {
    const stalled = new AbortController();
    return await this.#sendTo(peer, {
      signal: AbortSignal.any([signal, stalled.signal]),
      onStalled: () => stalled.abort(),
    });
  }

  /** Relays the request, after the send was reserved. */
  async #sendTo(
    peer: DaemonAddress,
    { signal, onStalled }: Pick<PeerRelayCall, "signal" | "onStalled">,
  ): Promise<PeerResult> {
    const { run } = this.#options;
    const { relay, configuration, log, timer, retryGate } =
      run.options.dependencies;
    const retry = run.takeReservedRetry();
    this.#tried.add(peer.daemonId);
    const startedAt = timer.now();
    const attempts = grantAttempts(run);
    run.sends++;
    run.deliveries++;
    run.runs += attempts;
    const answer = await relay.send({
      peer,
      message: {
        configurationVersion: configuration.version,
        attemptsLeft: attempts,
        streamOrigin: run.streamOrigin,
        earlierStagesMilliseconds: run.earlierStagesMilliseconds,
        senderEndsInMilliseconds: this.#endsInMilliseconds,
        request: this.#createRequest(),
      },
      onStalled,
      signal: AbortSignal.any([run.stop.signal, signal]),
    });
    log.info("request relayed", {
      attempt: run.options.request.attemptId,
      daemon: peer.daemonId,
      outcome: answer.type,
      reason: describe(answer),
      tookMilliseconds: Math.round(timer.now() - startedAt),
    });
    const stagesBegunAt = findStagesBegin(answer, {
      startedAt,
      now: run.now(),
    });
    if (stagesBegunAt !== undefined) run.recordEarlierStages(stagesBegunAt);
    if (isNotRun(answer)) run.runs -= attempts;
    if (isUndelivered(answer)) {
      run.deliveries--;
      if (retry !== undefined) retryGate.giveBack(retry);
    }
    return { peer, answer };
  }

  /** Time until this daemon ends; undefined while it wasn't told to stop. */
  get #endsInMilliseconds(): number | undefined {
    const remaining = this.#options.run.remainingLifetime();
    return Number.isFinite(remaining) ? Math.max(0, remaining) : undefined;
  }

  #createRequest(): RequestRun["options"]["request"] {
    const { run, streamRelay } = this.#options;
    const { request } = run.options;
    const { lastEventId } = streamRelay;
    return {
      ...request,
      deadlineMilliseconds: Math.max(1, Math.floor(run.remaining())),
      lastEventId,
      resumedAttemptId: lastEventId === undefined
        ? request.resumedAttemptId
        : request.resumedAttemptId ?? request.attemptId,
    };
  }

  #handle(result: PeerResult): Promise<RelayStep> | RelayStep {
    const { answer, peer } = result;
    if (!this.#options.run.isOpen) {
      closePeerAnswer(result);
      return "ended";
    }
    switch (answer.type) {
      case "answered":
        return this.#forward(answer.answer, peer);
      case "refused":
        return this.#handleRefusal(answer.refusal);
      case "unreachable":
        return "again";
      case "unknown":
        return this.#retryOrFail(answer.reason);
    }
  }

  #handleRefusal(received: RelayRefusal): RelayStep {
    const { isUnable, isDelivered: _, stagesMilliseconds: __, ...refusal } =
      received;
    const { run, fail } = this.#options;
    const { status, message } = refusal;
    if (NOT_RUN_STATUSES.has(status)) {
      this.#retryAfterMilliseconds = refusal.retryAfterMilliseconds;
      if (isUnable) return "again";
      fail(message, this.#retryMilliseconds);
      return "ended";
    }
    if (UNKNOWN_STATUSES.has(status)) return this.#retryOrFail(message);
    run.refuse(refusal);
    return "ended";
  }

  async #forward(
    answer: ReceivedAnswer,
    peer: DaemonAddress,
  ): Promise<RelayStep> {
    const { run, streamForwarder } = this.#options;
    const failover = this.#createFailover(peer);
    try {
      if (isStreamed(answer, run.options.route)) {
        await streamForwarder.forward({ answer, failover });
      } else await this.#forwardBuffered(answer);
    } catch (error) {
      return await this.#continueCutAnswer(error, { peer, failover });
    }
    failover.cancel();
    run.finish(answer.status < 500 ? "served" : "failed", {
      status: answer.status,
    });
    return "ended";
  }

  /** Goes on with what a failover found before the answer was cut, if it did. */
  async #continueCutAnswer(
    error: unknown,
    { peer, failover }: {
      readonly peer: DaemonAddress;
      readonly failover: StreamFailover<PeerResult>;
    },
  ): Promise<RelayStep> {
    const { run } = this.#options;
    if (!run.isOpen) {
      failover.cancel();
      return "ended";
    }
    reportBodyLimit(run.options.dependencies.malformedAnswers, error, {
      sender: peer.peer,
      hasFailedCall: true,
    });
    const next = await failover.take();
    if (next !== undefined) return await this.#handle(next);
    if (!run.isOpen) return "ended";
    const reason = error instanceof Error ? error.message : String(error);
    return this.#retryOrFail(`relayed answer cut: ${reason}`);
  }

  #createFailover(peer: DaemonAddress): StreamFailover<PeerResult> {
    const { run, shutdown } = this.#options;
    const places = new PeerPlaces({
      run,
      peer,
      findObstacle: () =>
        this.#hasAskedOften
          ? "no daemon may be asked"
          : shutdown.findArrivalRefusal(run)?.reason,
      choosePeer: () => this.#choosePeer(),
      mayServe: () => this.#mayServe(),
      sendTo: (next, signal) => this.#sendBeside(next, signal),
    });
    return new StreamFailover({ run, places });
  }

  /** True if only this daemon is left to go on with a stream, and may do so. */
  #mayServe(): boolean {
    const { run, continuation } = this.#options;
    const { dependencies, service } = run.options;
    const { endpointRegistry, retryGate } = dependencies;
    if (!this.#isServedHere || this.#choosePeer() !== undefined) return false;
    if (!this.#isSoftwareKnown) {
      // In time for the next search.
      void continuation.resolve();
      return false;
    }
    return run.hasAttemptsLeft && !run.isSuspect &&
      retryGate.waitFor(service, 1) === 0 &&
      endpointRegistry.availableFor(service).some((endpoint) =>
        mayContinue(run, endpoint) && endpoint.isHealthy(run.now())
      );
  }

  /** Whether it is known which endpoints may go on with the stream. */
  get #isSoftwareKnown(): boolean {
    const { run, streamRelay } = this.#options;
    const hasBegun = run.isResumableStream &&
      streamRelay.lastEventId !== undefined;
    return !hasBegun || run.streamOrigin !== undefined;
  }

  async #forwardBuffered(answer: ReceivedAnswer): Promise<void> {
    const { run } = this.#options;
    const body = await readAnswerBody(run, answer);
    if (!run.isOpen) return;
    run.firstByteAt = run.now();
    run.options.reply.answer(answer.status, answer.headers, body);
  }

  #retryOrFail(reason: string): RelayStep {
    const { run } = this.#options;
    if (run.hasAttemptsLeft && !run.isSuspect) return "again";
    this.#options.fail(reason, NO_ENDPOINT_RETRY_MILLISECONDS);
    return "ended";
  }

  #failWithoutBudget(): RelayStep {
    const { run, fail } = this.#options;
    const { dependencies, service } = run.options;
    fail(
      SPENT_BUDGET_REASON,
      dependencies.retryGate.retryAfterMilliseconds(service),
    );
    return "ended";
  }

  #fail(): RelayStep {
    const reason = this.#quotaHolders === undefined
      ? "no daemon reaches an endpoint"
      : "no daemon with a place at an endpoint was reached";
    this.#options.fail(reason, this.#retryMilliseconds);
    return "ended";
  }

  get #retryMilliseconds(): number {
    return this.#retryAfterMilliseconds ?? NO_ENDPOINT_RETRY_MILLISECONDS;
  }
}

/**
 * Number of endpoints that another daemon may use. Half of those that are left
 * are kept for the next daemon, since nobody knows how many the first one used
 * if its answer is lost.
 */
function grantAttempts({ isRepeatable, attemptsLeft }: RequestRun): number {
  return isRepeatable ? Math.max(1, Math.ceil(attemptsLeft / 2)) : 1;
}

/** True if the other daemon declared that no endpoint ran the request. */
function isNotRun(answer: RelayAnswer): boolean {
  return answer.type === "unreachable" ||
    (answer.type === "refused" && NOT_RUN_STATUSES.has(answer.refusal.status));
}

/** True if the request reached no endpoint, not even one that rejected it. */
function isUndelivered(answer: RelayAnswer): boolean {
  if (!isNotRun(answer)) return false;
  return answer.type !== "refused" || answer.refusal.isDelivered !== true;
}

/** When a daemon may have begun the stages; undefined if it didn't. */
function findStagesBegin(
  answer: RelayAnswer,
  { startedAt, now }: { readonly startedAt: number; readonly now: number },
): number | undefined {
  if (answer.type === "unreachable") return undefined;
  if (answer.type !== "refused") return startedAt;
  const { stagesMilliseconds } = answer.refusal;
  return stagesMilliseconds === undefined
    ? undefined
    : now - stagesMilliseconds;
}

function describe(answer: RelayAnswer): string | undefined {
  if (answer.type === "answered") return undefined;
  return answer.type === "refused"
    ? `${answer.refusal.status} ${answer.refusal.message}`
    : answer.reason;
}
