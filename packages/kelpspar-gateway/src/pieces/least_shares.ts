/** What became of a kind's requests lately. */
interface KindCount {
  ended: number;
  onTime: number;
  countedAt: number;
}

/**
 * A kind whose share on time is below this part of that of all requests goes
 * first. Not taken of its own requests alone, since a kind that comes eight
 * times as often would then push out the others to get its part.
 */
const LEAST_PART = 0.3;
/**
 * Time over which what was counted halves, milliseconds: longer than a burst of
 * some seconds, through which a kind that was served well before may wait.
 */
const HALF_LIFE_MILLISECONDS = 30_000;
/** Requests of a kind that must have ended before it is judged. */
const LEAST_ENDED = 6;
/** Kinds that are a smaller share of all requests are not judged. */
const LEAST_KIND_SHARE = 0.05;

/**
 * Tells which kinds of request get so little that they go first for a while.
 *
 * Load: one kind comes four times as often for longer than callers wait. Who
 * goes first is decided by priority, which alone leaves the least urgent kind
 * hardly anything beside such a flood of another.
 */
export class LeastShares {
  readonly #counts = new Map<string, KindCount>();

  /** Counts a request that was answered, or whose caller was sent away. */
  ended(kind: string, isOnTime: boolean, now: number): void {
    const count = this.#decayed(kind, now);
    count.ended++;
    if (isOnTime) count.onTime++;
  }

  /** Takes in that a caller that was sent away, and counted, is on time now. */
  servedAfterAll(kind: string, now: number): void {
    this.#decayed(kind, now).onTime++;
  }

  /** True while a kind gets less than its share. */
  isOwed(kind: string, now: number): boolean {
    const own = this.#decayed(kind, now);
    if (own.ended < LEAST_ENDED) return false;
    const all = this.#all(now);
    const isKept = own.onTime * all.ended >=
      own.ended * all.onTime * LEAST_PART;
    return !isKept && own.ended >= all.ended * LEAST_KIND_SHARE;
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
