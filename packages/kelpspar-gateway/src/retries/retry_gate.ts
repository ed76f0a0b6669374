import type { RetryLimits } from "kelpspar-decisions/retries";
import type { TimerService } from "kelpspar-shared";
import type { RetryCause } from "./retry_cause.ts";
import type {
  BudgetState,
  RetryDecision,
  RetryReport,
} from "./retry_report.ts";
import type { SlackBorrower } from "./slack_borrower.ts";
import type { FirstSends } from "./first_sends.ts";
import type { SpentRetries } from "./spent_retries.ts";
import {
  creditCapacity,
  EarnedCredits,
  LoanPool,
  SlidingWindowCounter,
  sumLoans,
} from "kelpspar-decisions/retries";
import { GRANT_MILLISECONDS } from "./slack_grant.ts";

/** Longest time that a request waits for a loan, milliseconds. */
const MAXIMUM_WAIT_MILLISECONDS = 800;
/** Requests that arrived while the process was paused are read within it. */
const BACKLOG_MILLISECONDS = 300;
/** Time over which the rate of requests is measured, milliseconds. */
const RATE_WINDOW_MILLISECONDS = 2_000;
/** Retries borrowed at once by one daemon at most. */
const MAXIMUM_BORROWED = 64;
/** Retry delay sent to callers if nobody knows when there is room again. */
const MAXIMUM_RETRY_MILLISECONDS = 2_000;
const MINIMUM_RETRY_MILLISECONDS = 300;

/** Dependencies of a `RetryGate`. */
export interface RetryGateOptions {
  readonly limits: RetryLimits;
  readonly slack: Pick<SlackBorrower, "borrow">;
  /** Number of known daemons, including this one. */
  readonly fleetSize: () => number;
  readonly timer: TimerService;
  /** Receives each decision; default none. */
  readonly report?:
    | Pick<RetryReport, "record" | "recordFirstSends">
    | undefined;
}

/** A request to send something again. */
export interface RetryRequest {
  readonly service: string;
  readonly cause: RetryCause;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Monotonic milliseconds. */
  readonly deadlineAt: number;
  /** Receives the retry if it is spent, for `giveBack`. */
  readonly onSpent?: (spent: SpentRetries) => void;
}

/** Whether something may be sent again, and whether that took time. */
export type RetryOutcome = "allowed" | "allowed_after_wait" | "refused";

interface Waiter {
  readonly request: RetryRequest;
  readonly resolve: (isAllowed: boolean) => void;
}

interface ServiceBudget {
  readonly credits: EarnedCredits;
  readonly loans: LoanPool;
  /** Requests in the time over which their rate is measured. */
  readonly recentRequests: SlidingWindowCounter;
  readonly requests: SlidingWindowCounter;
  readonly pieces: SlidingWindowCounter;
  readonly retries: SlidingWindowCounter;
  readonly waiters: Set<Waiter>;
  borrowing: Promise<void> | undefined;
  /** The fleet has nothing to lend before; monotonic milliseconds. */
  emptyUntil: number;
}

/**
 * Decides what is sent to an endpoint again. Everything that has reached an
 * endpoint of a service before needs a retry of this gate, whatever the path.
 * Without a limit a failing service would receive each call several times and
 * couldn't recover.
 *
 * A retry comes from a credit earned by this daemon's requests, or from the
 * fleet's slack, which is lent. Neither depends on what this daemon knows of
 * other daemons' retries or of those before its start.
 */
export class RetryGate {
  readonly #options: RetryGateOptions;
  readonly #budgets = new Map<string, ServiceBudget>();
  #earnsFrom = Number.NEGATIVE_INFINITY;

  constructor(options: RetryGateOptions) {
    this.#options = options;
  }

  /** Counts a request of a caller for a service. */
  recordRequest(service: string): void {
    this.#recordFirstSends(service, { requests: 1, pieces: 0 });
  }

  /**
   * Counts first sends of pieces to a stage service. Only requests earn: the
   * limit is a share of what callers send, however many pieces that makes.
   */
  recordPieces(service: string, sends: FirstSends): void {
    this.#recordFirstSends(service, sends);
  }

  /**
   * To be called when this process continues after a pause. What is read next
   * was sent at an unknown time, and windows that count its retries may not
   * count it.
   */
  handlePause(): void {
    this.#earnsFrom = this.#now() + BACKLOG_MILLISECONDS;
  }

  /** Number of retries that can be spent now without waiting. */
  available(service: string): number {
    const { loans, credits } = this.#budgetOf(service);
    const now = this.#now();
    return loans.available(now) + credits.available(now);
  }

  /**
   * Spends `count` retries if that many are available now; returns what was
   * spent, for `giveBack`.
   */
  trySpend(
    service: string,
    cause: RetryCause,
    count = 1,
  ): SpentRetries | undefined {
    if (this.available(service) >= count) {
      return this.#take(service, cause, count);
    }
    this.#record(service, cause, { count, outcome: "refused" });
    return undefined;
  }

  /** Returns retries for which nothing was sent. */
  giveBack({ service, cause, count, credits, loans }: SpentRetries): void {
    const now = this.#now();
    const budget = this.#budgetOf(service);
    for (const { amount, expiresAt } of loans) {
      budget.loans.add(amount, expiresAt);
    }
    budget.credits.giveBack(credits, now);
    budget.retries.add(-count, now);
    this.#record(service, cause, { count, outcome: "returned" });
    this.#serveWaiters(service, budget);
  }

  /**
   * Spends one retry; waits shortly for a loan if none is available. Answers at
   * once otherwise, so that an endpoint that was chosen before still has its
   * place.
   */
  spend(request: RetryRequest): RetryOutcome | Promise<RetryOutcome> {
    const { service, cause } = request;
    const budget = this.#budgetOf(service);
    const isAvailable = budget.waiters.size === 0 &&
      this.available(service) > 0;
    if (isAvailable || budget.emptyUntil > this.#now()) {
      const spent = this.trySpend(service, cause);
      if (spent === undefined) return "refused";
      request.onSpent?.(spent);
      return "allowed";
    }
    return this.#wait(request, budget);
  }

  /**
   * Borrows up to `count` retries for `trySpend`; resolves to whether there are
   * any.
   */
  async borrow(service: string, count: number): Promise<boolean> {
    const budget = this.#budgetOf(service);
    if (budget.emptyUntil <= this.#now()) {
      budget.borrowing ??= this.#borrow(service, count, budget);
      await budget.borrowing;
    }
    return budget.loans.available(this.#now()) > 0;
  }

  /**
   * Time until `count` retries will have been earned at the current rate of
   * requests, milliseconds; 0 while the fleet may have slack to lend.
   */
  waitFor(service: string, count: number): number {
    const { recentRequests, emptyUntil } = this.#budgetOf(service);
    const missing = count - this.available(service);
    if (missing <= 0 || emptyUntil <= this.#now()) return 0;
    const rate = this.#options.limits.ratio * recentRequests.sum(this.#now()) /
      RATE_WINDOW_MILLISECONDS;
    return missing / rate;
  }

  /** Time after which a service's budget will have room, milliseconds. */
  retryAfterMilliseconds(service: string): number {
    const budget = this.#budgetOf(service);
    const wait = Math.min(
      this.waitFor(service, 1),
      Math.max(0, budget.emptyUntil - this.#now()),
      MAXIMUM_RETRY_MILLISECONDS,
    );
    return Math.round(Math.max(MINIMUM_RETRY_MILLISECONDS, wait));
  }

  /** State of a service's budget, for the log. */
  describe(service: string): BudgetState {
    const now = this.#now();
    const budget = this.#budgetOf(service);
    const { recentRequests, requests, pieces, retries } = budget;
    const { loans, credits, emptyUntil } = budget;
    return {
      requestsPerSecond: recentRequests.sum(now) * 1_000 /
        RATE_WINDOW_MILLISECONDS,
      requestsInWindow: requests.sum(now),
      piecesInWindow: pieces.sum(now),
      retriesInWindow: retries.sum(now),
      credits: credits.available(now),
      loans: loans.available(now),
      emptyMilliseconds: Math.max(0, Math.round(emptyUntil - now)),
      daemons: this.#options.fleetSize(),
    };
  }

  #now(): number {
    return this.#options.timer.now();
  }

  #recordFirstSends(service: string, sends: FirstSends): void {
    const now = this.#now();
    const budget = this.#budgetOf(service);
    budget.requests.add(sends.requests, now);
    budget.pieces.add(sends.pieces, now);
    this.#options.report?.recordFirstSends(service, sends);
    this.#earn(service, sends.requests);
  }

  #earn(service: string, count: number): void {
    const now = this.#now();
    const budget = this.#budgetOf(service);
    budget.recentRequests.add(count, now);
    if (now < this.#earnsFrom) return;
    const { limits, fleetSize } = this.#options;
    const capacity = creditCapacity(limits.slack, fleetSize());
    budget.credits.earn(limits.ratio * count, { capacity, now });
  }

  #record(
    service: string,
    cause: RetryCause,
    decision: Pick<RetryDecision, "count" | "outcome">,
  ): void {
    this.#options.report?.record({ service, cause, ...decision });
  }

  #take(service: string, cause: RetryCause, count: number): SpentRetries {
    const now = this.#now();
    const budget = this.#budgetOf(service);
    // Loans expire soon.
    const loans = budget.loans.takeLoans(count, now);
    const credits = budget.credits.take(count - sumLoans(loans), now);
    budget.retries.add(count, now);
    this.#record(service, cause, { count, outcome: "allowed" });
    return { service, cause, count, credits, loans };
  }

  #wait(
    request: RetryRequest,
    budget: ServiceBudget,
  ): Promise<RetryOutcome> {
    const { service, cause } = request;
    return new Promise((resolve) => {
      const waiter: Waiter = {
        request,
        resolve: (isAllowed) => {
          stopTimer();
          budget.waiters.delete(waiter);
          if (isAllowed) {
            const spent = this.#take(service, cause, 1);
            request.onSpent?.(spent);
          } else this.#record(service, cause, { count: 1, outcome: "refused" });
          resolve(isAllowed ? "allowed_after_wait" : "refused");
        },
      };
      const stopTimer = this.#options.timer.registerTimeout(
        () => waiter.resolve(false),
        MAXIMUM_WAIT_MILLISECONDS,
      );
      budget.waiters.add(waiter);
      budget.borrowing ??= this.#borrow(service, 1, budget);
    });
  }

  /** Borrows until no request waits; the most urgent requests go first. */
  async #borrow(
    service: string,
    count: number,
    budget: ServiceBudget,
  ): Promise<void> {
    const { slack, timer } = this.#options;
    // Requests that fail together share a question.
    await Promise.resolve();
    const wanted = Math.min(
      MAXIMUM_BORROWED,
      Math.max(count, budget.waiters.size),
    );
    const askedAt = timer.now();
    try {
      const { granted, retryAfterMilliseconds } = await slack.borrow(
        service,
        wanted,
      );
      budget.loans.add(granted, askedAt + GRANT_MILLISECONDS);
      if (retryAfterMilliseconds > 0) {
        budget.emptyUntil = timer.now() + retryAfterMilliseconds;
      }
    } finally {
      budget.borrowing = undefined;
      this.#serveWaiters(service, budget);
    }
  }

  #serveWaiters(service: string, budget: ServiceBudget): void {
    const waiters = [...budget.waiters].sort((left, right) =>
      left.request.priority - right.request.priority ||
      left.request.deadlineAt - right.request.deadlineAt
    );
    const isEmpty = budget.emptyUntil > this.#now();
    for (const waiter of waiters) {
      if (this.available(service) > 0) waiter.resolve(true);
      else if (isEmpty) waiter.resolve(false);
    }
    if (budget.waiters.size > 0) {
      budget.borrowing ??= this.#borrow(service, 1, budget);
    }
  }

  #budgetOf(service: string): ServiceBudget {
    const known = this.#budgets.get(service);
    if (known !== undefined) return known;
    const { windowMilliseconds } = this.#options.limits;
    const budget: ServiceBudget = {
      credits: new EarnedCredits(),
      loans: new LoanPool(),
      recentRequests: new SlidingWindowCounter({
        windowMilliseconds: RATE_WINDOW_MILLISECONDS,
      }),
      requests: new SlidingWindowCounter({ windowMilliseconds }),
      pieces: new SlidingWindowCounter({ windowMilliseconds }),
      retries: new SlidingWindowCounter({ windowMilliseconds }),
      waiters: new Set(),
      borrowing: undefined,
      emptyUntil: Number.NEGATIVE_INFINITY,
    };
    this.#budgets.set(service, budget);
    return budget;
  }
}
