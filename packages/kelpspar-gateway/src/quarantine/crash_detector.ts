import type { CrashReport } from "kelpspar-decisions/quarantine";
import type { TimerService } from "kelpspar-shared";
import type { ListeningState } from "../exchange/check_listening.ts";
import type { EndpointEntry } from "../endpoints/endpoint_entry.ts";
import type { FleetMembership } from "../fleet/fleet_membership.ts";
import type { IsolationMonitor } from "../isolation/isolation_monitor.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { EndpointClient } from "../requests/endpoint_call.ts";
import type { PromptPart } from "../requests/serving_request.ts";
import type { Quarantine } from "./quarantine.ts";
import { describeIncarnation } from "./describe_incarnation.ts";
import { describePromptParts } from "../requests/describe_prompt_parts.ts";
import { sharedParts } from "../requests/shared_parts.ts";
import { describeSoftware } from "../streams/software_of.ts";
import { weightOfCrash } from "kelpspar-decisions/quarantine";

/** An answer that ended before it was complete. */
export interface TruncatedAnswer {
  readonly attemptId: string | undefined;
  readonly fingerprint: string;
  readonly promptParts: readonly PromptPart[];
  readonly endpoint: EndpointEntry;
  /** Monotonic milliseconds. */
  readonly sentAt: number;
  /** When the answer began; undefined when none of it arrived. */
  readonly answeredAt: number | undefined;
  /** When its first event arrived, or a body that isn't a stream began. */
  readonly firstEventAt?: number | undefined;
  /** When its last events arrived; undefined for a body that isn't a stream. */
  readonly lastEventAt?: number | undefined;
  /** The endpoint is known to have restarted since the request was sent. */
  readonly hasRestarted: boolean;
  /** Aborted once the endpoint is known to have restarted. */
  readonly ended?: AbortSignal;
}

/** A possible crash that this daemon was too isolated to tell. */
interface DeferredCrash {
  readonly report: CrashReport;
  /** Monotonic milliseconds. */
  readonly truncatedAt: number;
  readonly endpoint: EndpointEntry;
  readonly ended: AbortSignal | undefined;
}

/** How often deferred crashes are checked again, milliseconds. */
const DEFERRED_CHECK_MILLISECONDS = 100;
/** Time after which a deferred crash is dropped. */
const MAXIMUM_DEFERRAL_MILLISECONDS = 10_000;
const MAXIMUM_DEFERRED_CRASHES = 200;

/** Options of `CrashDetector`. */
export interface CrashDetectorOptions {
  readonly quarantine: Pick<Quarantine, "reportCrash">;
  readonly endpoints: Pick<EndpointClient, "check">;
  readonly isolation: Pick<IsolationMonitor, "verified" | "isIsolated">;
  readonly membership: Pick<FleetMembership, "hasOnlyIsolated">;
  readonly timer: TimerService;
  readonly log: GatewayLog;
}

/**
 * Distinguishes endpoints that crashed while running a request from those that
 * only aborted an answer: nothing listens at the address of a crashed endpoint.
 */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;
  /** Oldest first. */
  readonly #deferred: DeferredCrash[] = [];
  #isCheckScheduled = false;
  /** Running checks by endpoint id. */
  readonly #checks = new Map<string, Promise<ListeningState>>();

  constructor(options: CrashDetectorOptions) {
    this.#options = options;
  }

  /** Checks the endpoint of a truncated answer and reports a crash. */
  async checkEndpoint(answer: TruncatedAnswer): Promise<void> {
    const { timer, log, quarantine, isolation } = this.#options;
    const truncatedAt = timer.now();
    const { endpoint, answeredAt, fingerprint, hasRestarted } = answer;
    const state = hasRestarted ? "restarted" : await this.#checkOnce(endpoint);
    // Time that passed after the last event says nothing about the endpoint: it
    // may have hung, or this process may have been suspended.
    const { firstEventAt, lastEventAt = truncatedAt } = answer;
    const report: CrashReport = {
      fingerprint,
      crash: describeIncarnation(endpoint),
      ranMilliseconds: millisecondsSince(answeredAt, truncatedAt),
      ...(answeredAt === undefined
        ? { waitedMilliseconds: Math.round(truncatedAt - answer.sentAt) }
        : {}),
      wroteMilliseconds: millisecondsSince(firstEventAt, lastEventAt),
      parts: sharedParts(answer.promptParts),
      software: describeSoftware(endpoint),
    };
    const mayHaveCrashed = state === "refused" || state === "restarted";
    // An isolated daemon can't tell a crash from its own partition.
    const isIsolated = state === "refused" && await isolation.verified();
    const isReported = mayHaveCrashed && !isIsolated;
    log.info("endpoint checked after truncated answer", {
      attempt: answer.attemptId,
      fingerprint,
      parts: describePromptParts(answer.promptParts),
      endpoint: endpoint.id,
      bornAt: endpoint.bornAt,
      state,
      isIsolated,
      isReported,
      weight: describeWeight(report),
      sentMillisecondsAgo: Math.round(truncatedAt - answer.sentAt),
      begunMillisecondsAgo: report.ranMilliseconds,
      wroteMilliseconds: report.wroteMilliseconds,
    });
    const { ended } = answer;
    if (isReported) quarantine.reportCrash(report, truncatedAt);
    if (isIsolated) this.#defer({ report, truncatedAt, endpoint, ended });
  }

  /**
   * Decides about a crash later: once this daemon reaches endpoints again, or
   * when no other daemon reaches any, so that the cause isn't its own partition.
   */
  #defer(crash: DeferredCrash): void {
    this.#deferred.push(crash);
    if (this.#deferred.length > MAXIMUM_DEFERRED_CRASHES) {
      this.#deferred.shift();
    }
    this.#scheduleDeferredCheck();
  }

  #scheduleDeferredCheck(): void {
    if (this.#isCheckScheduled) return;
    this.#isCheckScheduled = true;
    this.#options.timer.registerTimeout(
      () => void this.#checkDeferred(),
      DEFERRED_CHECK_MILLISECONDS,
    );
  }

  async #checkDeferred(): Promise<void> {
    const { timer, isolation, membership } = this.#options;
    this.#isCheckScheduled = false;
    const now = timer.now();
    const isOwnPartition = isolation.isIsolated &&
      !membership.hasOnlyIsolated(now);
    const crashes = this.#deferred.splice(0);
    const kept = isOwnPartition
      ? crashes.filter(({ truncatedAt }) =>
        now - truncatedAt < MAXIMUM_DEFERRAL_MILLISECONDS
      )
      : [];
    if (!isOwnPartition) {
      await Promise.all(crashes.map((crash) => this.#reportDeferred(crash)));
    }
    this.#deferred.unshift(...kept);
    if (this.#deferred.length > 0) this.#scheduleDeferredCheck();
  }

  async #reportDeferred(crash: DeferredCrash): Promise<void> {
    const { log, quarantine } = this.#options;
    const { report, truncatedAt, endpoint, ended } = crash;
    const state = ended?.aborted === true
      ? "restarted"
      : await this.#checkOnce(endpoint);
    const isReported = state === "refused" || state === "restarted";
    log.info("endpoint checked after isolation", {
      fingerprint: report.fingerprint,
      parts: report.parts?.join(","),
      endpoint: endpoint.id,
      bornAt: endpoint.bornAt,
      state,
      isReported,
      weight: describeWeight(report),
      wroteMilliseconds: report.wroteMilliseconds,
    });
    if (isReported) quarantine.reportCrash(report, truncatedAt);
  }

  /** Shares one check among answers that are truncated together. */
  #checkOnce(endpoint: EndpointEntry): Promise<ListeningState> {
    const { id } = endpoint;
    const running = this.#checks.get(id);
    if (running !== undefined) return running;
    const check = this.#options.endpoints.check(endpoint).finally(() =>
      this.#checks.delete(id)
    );
    this.#checks.set(id, check);
    return check;
  }
}

/** What the crash counts against the parts of its request, for a log line. */
function describeWeight(report: CrashReport): number {
  return Number(weightOfCrash(report).toFixed(2));
}

function millisecondsSince(
  at: number | undefined,
  now: number,
): number | undefined {
  return at === undefined ? undefined : Math.round(now - at);
}
