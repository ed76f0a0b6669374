import type { CrashReport } from "kelpspar-decisions/quarantine";
import type { TimerService } from "kelpspar-shared";
import type { ListeningState } from "../exchange/check_listening.ts";
import type { EndpointEntry } from "../endpoints/endpoint_entry.ts";
import type { IsolationMonitor } from "../isolation/isolation_monitor.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { EndpointClient } from "../requests/endpoint_call.ts";
import type { PromptPart } from "../requests/serving_request.ts";
import type { Quarantine } from "./quarantine.ts";
import { describePromptParts } from "../requests/describe_prompt_parts.ts";
import { sharedParts } from "../requests/shared_parts.ts";
import { describeSoftware } from "../streams/software_of.ts";
import { isBlamed, WIDE_WINDOW } from "kelpspar-decisions/quarantine";

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
}

/** Options of `CrashDetector`. */
export interface CrashDetectorOptions {
  readonly quarantine: Pick<Quarantine, "reportCrash">;
  readonly endpoints: Pick<EndpointClient, "check">;
  readonly isolation: Pick<IsolationMonitor, "verified">;
  readonly timer: TimerService;
  readonly log: GatewayLog;
}

/**
 * Distinguishes endpoints that crashed while running a request from those that
 * only aborted an answer: nothing listens at the address of a crashed endpoint.
 */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;
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
      crash: `${endpoint.id} born ${endpoint.bornAt}`,
      ranMilliseconds: millisecondsSince(answeredAt, truncatedAt),
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
      isBlamed: isBlamed({ ...report, at: truncatedAt }, WIDE_WINDOW),
      sentMillisecondsAgo: Math.round(truncatedAt - answer.sentAt),
      begunMillisecondsAgo: report.ranMilliseconds,
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

function millisecondsSince(
  at: number | undefined,
  now: number,
): number | undefined {
  return at === undefined ? undefined : Math.round(now - at);
}
