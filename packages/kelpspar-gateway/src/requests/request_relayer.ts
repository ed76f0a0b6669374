import type { DaemonAddress } from "../fleet/fleet_digest.ts";
import type { RelayAnswer } from "../relay/relay_answer.ts";
import type { RelayRefusal } from "../relay/relay_refusal.ts";
import type { RequestRun } from "./request_run.ts";
import type { ShutdownAdmission } from "./shutdown_admission.ts";
import type { ReceivedAnswer } from "./send_result.ts";
import type { StreamForwarder } from "./stream_forwarder.ts";
import type { StreamRelay } from "./stream_relay.ts";
import { reportBodyLimit } from "../exchange/report_body_limit.ts";
import { readAnswerBody } from "./read_answer_body.ts";
import { NO_ENDPOINT_RETRY_MILLISECONDS } from "./retry_waits.ts";
import { SPENT_BUDGET_REASON } from "./spent_budget_reason.ts";
import { isStreamed } from "./send_result.ts";

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
      const holders = this.#quotaHolders;
      if (!relay.isNeeded && holders === undefined) return false;
      const isExhausted = this.#tried.size >= MAXIMUM_PEERS;
      const peer = isExhausted
        ? undefined
        : relay.choosePeer(this.#tried, holders);
      if (peer === undefined && this.#tried.size === 0 && !relay.isNeeded) {
        return false;
      }
      // Another daemon runs the stages again.
      run.releaseResults();
      if (await this.#relayTo(peer) === "ended") return true;
    }
    return true;
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
    const { relay, configuration, log, timer } = run.options.dependencies;
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
    this.#tried.add(peer.daemonId);
    const startedAt = timer.now();
    run.takeReservedRetry();
    const attempts = grantAttempts(run);
    run.sends++;
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
      isRepeatable: run.hasAttemptsLeft,
      signal: run.stop.signal,
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
    if (!run.isOpen) {
      if (answer.type === "answered") answer.answer.close();
      return "ended";
    }
    const isNotRun = answer.type === "unreachable" ||
      (answer.type === "refused" &&
        NOT_RUN_STATUSES.has(answer.refusal.status));
    if (isNotRun) run.runs -= attempts;
    return await this.#handle(answer, peer);
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

  #handle(
    answer: RelayAnswer,
    peer: DaemonAddress,
  ): Promise<RelayStep> | RelayStep {
    const { run } = this.#options;
    switch (answer.type) {
      case "answered":
        run.deliveries++;
        return this.#forward(answer.answer, peer);
      case "refused":
        return this.#handleRefusal(answer.refusal);
      case "unreachable":
        return "again";
      case "unknown":
        run.deliveries++;
        return this.#retryOrFail(answer.reason);
    }
  }

  #handleRefusal(received: RelayRefusal): RelayStep {
    const { isUnable, isDelivered, stagesMilliseconds: _, ...refusal } =
      received;
    const { run, fail } = this.#options;
    const { status, message } = refusal;
    if (NOT_RUN_STATUSES.has(status)) {
      if (isDelivered === true) run.deliveries++;
      this.#retryAfterMilliseconds = refusal.retryAfterMilliseconds;
      if (isUnable) return "again";
      fail(message, this.#retryMilliseconds);
      return "ended";
    }
    run.deliveries++;
    if (UNKNOWN_STATUSES.has(status)) return this.#retryOrFail(message);
    run.refuse(refusal);
    return "ended";
  }

  async #forward(
    answer: ReceivedAnswer,
    peer: DaemonAddress,
  ): Promise<RelayStep> {
    const { run, streamForwarder } = this.#options;
    try {
      if (isStreamed(answer, run.options.route)) {
        await streamForwarder.forward({ answer });
      } else await this.#forwardBuffered(answer);
    } catch (error) {
      if (!run.isOpen) return "ended";
      reportBodyLimit(run.options.dependencies.malformedAnswers, error, {
        sender: peer.peer,
        hasFailedCall: true,
      });
      const reason = error instanceof Error ? error.message : String(error);
      return this.#retryOrFail(`relayed answer cut: ${reason}`);
    }
    run.finish(answer.status < 500 ? "served" : "failed", {
      status: answer.status,
    });
    return "ended";
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
