/** Weight of the newest sample in the moving average. */
const NEWEST_WEIGHT = 0.05;

interface NominalTime {
  readonly milliseconds: number;
  readonly samples: number;
}

/**
 * Times of calls on an endpoint of median speed without slowdown, by kind of
 * call. A plain average would rise with every slowed endpoint, and all ratios to
 * it would fall.
 */
export class NominalTimes {
  readonly #times = new Map<string, NominalTime>();

  /** Milliseconds; undefined before the first call of the kind. */
  of(kind: string): number | undefined {
    return this.#times.get(kind)?.milliseconds;
  }

  /** Records a call's time divided by its endpoint's known slowness. */
  record(kind: string, milliseconds: number): void {
    const { milliseconds: mean, samples } = this.#times.get(kind) ??
      { milliseconds, samples: 0 };
    // The first calls also open connections, and must not count for long.
    const weight = Math.max(NEWEST_WEIGHT, 1 / (samples + 1));
    this.#times.set(kind, {
      milliseconds: mean + weight * (milliseconds - mean),
      samples: samples + 1,
    });
  }
}
