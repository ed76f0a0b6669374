/** Decayed counts of a kind's requests. */
interface KindCount {
  ended: number;
  onTime: number;
  countedAt: number;
}

/** On-time shares of one kind and of all requests. */
export interface KindShares {
  readonly own: number;
  readonly all: number;
}

/**
 * A kind is starved when its on-time share is below this fraction of the share
 * of all requests. Relative to all requests, because with a fixed share of its
 * own requests, a kind that arrives eight times as often would displace the
 * others.
 */
const MIN_RELATIVE_SHARE = 0.3;
/** The same for a kind that is admitted more leniently. */
const UNDERSERVED_SHARE = 0.5;
/**
 * Half-life of the counts: longer than a burst of some seconds, during which a
 * kind that was served well before may wait.
 */
const HALF_LIFE_MILLISECONDS = 30_000;
/** Ended requests of a kind below which it is never starved. */
const MIN_ENDED_REQUESTS = 6;
/** Share of all requests below which a kind is never starved. */
const MIN_KIND_SHARE = 0.05;

/**
 * Detects starved kinds of request, which then get priority for a while.
 *
 * When one kind arrives four times as often for longer than callers wait,
 * strict priority leaves the least urgent kind almost no capacity.
 */
export class StarvationMonitor {
  readonly #counts = new Map<string, KindCount>();

  /** Counts a request that was answered or refused. */
  ended(kind: string, isOnTime: boolean, now: number): void {
    const count = this.#decayed(kind, now);
    count.ended++;
    if (isOnTime) count.onTime++;
  }

  /** Counts a refused, already counted caller as on time after its retry. */
  servedOnRetry(kind: string, now: number): void {
    this.#decayed(kind, now).onTime++;
  }

  /** True while a kind gets so little that it needs priority. */
  isStarved(kind: string, now: number): boolean {
    return this.#isBelow(kind, { share: MIN_RELATIVE_SHARE, now });
  }

  /** True while a kind gets less than half of the share of all. */
  isUnderserved(kind: string, now: number): boolean {
    return this.#isBelow(kind, { share: UNDERSERVED_SHARE, now });
  }

  /** Decayed on-time shares of a kind and of all requests; 0 without any. */
  sharesOf(kind: string, now: number): KindShares {
    const { ended, onTime } = this.#decayed(kind, now);
    const all = this.#all(now);
    return {
      own: ended === 0 ? 0 : onTime / ended,
      all: all.ended === 0 ? 0 : all.onTime / all.ended,
    };
  }

  #isBelow(
    kind: string,
    { share, now }: { readonly share: number; readonly now: number },
  ): boolean {
    const own = this.#decayed(kind, now);
    if (own.ended < MIN_ENDED_REQUESTS) return false;
    const all = this.#all(now);
    const isServed = own.onTime * all.ended >= own.ended * all.onTime * share;
    return !isServed && own.ended >= all.ended * MIN_KIND_SHARE;
  }

  #all(now: number): Pick<KindCount, "ended" | "onTime"> {
    const all = { ended: 0, onTime: 0 };
    for (const kind of this.#counts.keys()) {
      const { ended, onTime } = this.#decayed(kind, now);
      all.ended += ended;
      all.onTime += onTime;
    }
    return all;
  }

  #decayed(kind: string, now: number): KindCount {
    const known = this.#counts.get(kind);
    const count = known ?? { ended: 0, onTime: 0, countedAt: now };
    if (known === undefined) this.#counts.set(kind, count);
    const factor = 0.5 ** ((now - count.countedAt) / HALF_LIFE_MILLISECONDS);
    count.ended *= factor;
    count.onTime *= factor;
    count.countedAt = now;
    return count;
  }
}
