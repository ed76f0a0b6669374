import { SlidingWindowCounter } from "kelpspar-decisions/retries";

/** What all daemons together may repeat. */
export interface ServiceRetryBudgetOptions {
  /** Repeats allowed for each request of the window. */
  readonly ratio: number;
  /** Repeats that the fleet may make in a window beyond that. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/**
 * Share of the fleet's slack that is given out. The rest covers daemons that
 * joined, or are taken for dead, while others still count by the old size.
 */
const SLACK_GIVEN_OUT = 0.7;

interface Tally {
  readonly requests: SlidingWindowCounter;
  readonly repeats: SlidingWindowCounter;
}

/**
 * Repeats by service. The fleet shares one budget without talking about it:
 * each daemon repeats a share of its own requests and an even part of the
 * fleet's slack. Without it a service that begins to fail gets each call
 * several times over and can't recover.
 */
export class ServiceRetryBudget {
  readonly #options: ServiceRetryBudgetOptions;
  readonly #tallies = new Map<string, Tally>();

  constructor(options: ServiceRetryBudgetOptions) {
    this.#options = options;
  }

  /** Counts the first send of a request or piece. */
  recordRequest(service: string, now: number): void {
    this.#tallyOf(service).requests.add(1, now);
  }

  /**
   * Takes `count` repeats; false when they are not there. `sharers` is how many
   * daemons send to this service.
   */
  trySpend(
    service: string,
    options: {
      readonly count: number;
      readonly sharers: number;
      readonly now: number;
    },
  ): boolean {
    const { count, sharers, now } = options;
    const { requests, repeats } = this.#tallyOf(service);
    const slack = SLACK_GIVEN_OUT * this.#options.slack / Math.max(1, sharers);
    const allowed = slack + this.#options.ratio * requests.sum(now);
    if (repeats.sum(now) + count > allowed) return false;
    repeats.add(count, now);
    return true;
  }

  #tallyOf(service: string): Tally {
    const known = this.#tallies.get(service);
    if (known !== undefined) return known;
    // One slice more than the window, so that nothing is forgotten early.
    const { windowMilliseconds } = this.#options;
    const counter = {
      windowMilliseconds: windowMilliseconds * 1.1,
      slices: 11,
    };
    const tally = {
      requests: new SlidingWindowCounter({ ...counter, windowMilliseconds }),
      repeats: new SlidingWindowCounter(counter),
    };
    this.#tallies.set(service, tally);
    return tally;
  }
}
