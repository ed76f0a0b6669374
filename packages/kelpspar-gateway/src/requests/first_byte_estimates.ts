/** Weight of the newest sample in the moving averages. */
const SMOOTHING_FACTOR = 0.1;
/** Estimate before the first sample: the time of a short call. */
const INITIAL_ESTIMATE_MILLISECONDS = 60;
/**
 * The same for streams: a model's first step after a prompt of some thousand
 * tokens.
 */
const INITIAL_STREAM_ESTIMATE_MILLISECONDS = 300;
/** An answer is overdue after this multiple of its expected time, */
const OVERDUE_FACTOR = 3;
/** plus this margin. */
const OVERDUE_MARGIN_MILLISECONDS = 250;
/** Share of overdue answers from which the route itself has become slower. */
const SLOWER_SHARE = 0.5;

/** What is known of a route. */
interface RouteEstimate {
  readonly meanMilliseconds: number;
  /** Moving average of the share of answers that were overdue. */
  readonly overdueShare: number;
}

/**
 * Moving averages of the time to first byte by route, in milliseconds. Overdue
 * answers count only once most answers are overdue: those of one endpoint that
 * was silent tell nothing about the others.
 */
export class FirstByteEstimates {
  readonly #routes = new Map<string, RouteEstimate>();

  /** Expected milliseconds until the first byte of the answer. */
  estimate(route: string, isStream: boolean): number {
    return this.#find(route, isStream).meanMilliseconds;
  }

  /** Milliseconds after which an answer is overdue. */
  overdueAfter(route: string, isStream: boolean): number {
    return this.estimate(route, isStream) * OVERDUE_FACTOR +
      OVERDUE_MARGIN_MILLISECONDS;
  }

  record(route: string, milliseconds: number, isStream: boolean): void {
    const known = this.#find(route, isStream);
    const isOverdue = milliseconds > this.overdueAfter(route, isStream);
    const overdueShare = average(known.overdueShare, isOverdue ? 1 : 0);
    const isSample = !isOverdue || overdueShare >= SLOWER_SHARE;
    this.#routes.set(route, {
      meanMilliseconds: isSample
        ? average(known.meanMilliseconds, milliseconds)
        : known.meanMilliseconds,
      overdueShare,
    });
  }

  /** The first samples replace the initial estimate, overdue or not. */
  #find(route: string, isStream: boolean): RouteEstimate {
    return this.#routes.get(route) ?? {
      meanMilliseconds: isStream
        ? INITIAL_STREAM_ESTIMATE_MILLISECONDS
        : INITIAL_ESTIMATE_MILLISECONDS,
      overdueShare: 1,
    };
  }
}

function average(mean: number, sample: number): number {
  return mean + SMOOTHING_FACTOR * (sample - mean);
}
