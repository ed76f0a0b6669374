import type { RetryCause } from "./retry_cause.ts";
import type { BudgetState, RetryReport } from "./retry_report.ts";
import { SlidingWindowCounter } from "kelpspar-decisions/retries";

/** Limits for the retries of all daemons together. */
export interface ServiceRetryBudgetOptions {
  /** Retries allowed for each request in the window. */
  readonly ratio: number;
  /** Additional retries that the fleet may make in a window. */
  readonly slack: number;
  readonly windowMilliseconds: number;
  /** Receives each decision; default none. */
  readonly report?: Pick<RetryReport, "record"> | undefined;
}

/**
 * Share of the fleet's slack that daemons allocate. The rest covers daemons
 * that joined, or are wrongly assumed dead, while other daemons still divide
 * the slack by a different fleet size.
 */
const ALLOCATED_SLACK_SHARE = 0.7;

interface ServiceCounters {
  readonly requests: SlidingWindowCounter;
  readonly retries: SlidingWindowCounter;
}

/**
 * Retry budget by service, shared by the fleet without coordination: each
 * daemon may retry a share of its own requests, plus an equal part of the
 * fleet's slack. Without a budget, a failing service would receive each call
 * several times and couldn't recover.
 */
export class ServiceRetryBudget {
  readonly #options: ServiceRetryBudgetOptions;
  readonly #countersByService = new Map<string, ServiceCounters>();

  constructor(options: ServiceRetryBudgetOptions) {
    this.#options = options;
  }

  /** Counts the first send of a request or piece. */
  recordRequest(service: string, now: number): void {
    this.#countersOf(service).requests.add(1, now);
  }

  /**
   * Spends `count` retries; false if the budget doesn't allow all of them.
   * `senderCount` is the number of daemons that send to this service.
   */
  trySpend(
    service: string,
    options: {
      readonly count: number;
      readonly cause: RetryCause;
      readonly senderCount: number;
      readonly now: number;
    },
  ): boolean {
    const { count, cause, senderCount, now } = options;
    const { requests, retries } = this.#countersOf(service);
    const slack = ALLOCATED_SLACK_SHARE * this.#options.slack /
      Math.max(1, senderCount);
    const allowed = slack + this.#options.ratio * requests.sum(now);
    const isAllowed = retries.sum(now) + count <= allowed;
    if (isAllowed) retries.add(count, now);
    this.#options.report?.record({ service, cause, count, isAllowed });
    return isAllowed;
  }

  /** Requests and retries of this daemon in the last window. */
  describe(service: string, now: number): BudgetState {
    const { requests, retries } = this.#countersOf(service);
    return { requests: requests.sum(now), retries: retries.sum(now) };
  }

  #countersOf(service: string): ServiceCounters {
    const existing = this.#countersByService.get(service);
    if (existing !== undefined) return existing;
    // One slice more than the window, so that no retry expires early.
    const { windowMilliseconds } = this.#options;
    const counterOptions = {
      windowMilliseconds: windowMilliseconds * 1.1,
      slices: 11,
    };
    const counters = {
      requests: new SlidingWindowCounter({
        ...counterOptions,
        windowMilliseconds,
      }),
      retries: new SlidingWindowCounter(counterOptions),
    };
    this.#countersByService.set(service, counters);
    return counters;
  }
}
