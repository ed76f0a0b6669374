import type { AgedLimit } from "./notice_page.ts";
import type { AnsweringEndpoint } from "./endpoint_notices.ts";
import { hashText } from "kelpspar-decisions/routing";

/** What one life of an endpoint said last of its limit. */
interface ToldLimit {
  readonly bornAt: number | undefined;
  /** Undefined once it named none any more. */
  readonly perSecond: number | undefined;
  /** When it said so, monotonic milliseconds. */
  readonly at: number;
}

/** For an endpoint whose first limit can't be read, requests a second. */
const PRESUMED_PER_SECOND = 1;
/**
 * What two daemons heard of an endpoint within so long of each other may have
 * been said in either order, milliseconds: the lower limit then counts.
 */
const SAME_TIME_MILLISECONDS = 250;
/** How long the end of a limit is kept for daemons that know of it, ms. */
const ENDED_MILLISECONDS = 60_000;
/**
 * A limit of which no daemon has heard for so long is of an endpoint that is
 * gone, milliseconds: others are asked every few seconds whatever they name.
 */
const SILENT_MILLISECONDS = 600_000;

/**
 * The limits that endpoints name, requests a second from all daemons together.
 * A limit is of one life of an endpoint, and stays while its entry is missing.
 * It ends only by the endpoint's word: a limit that ran out by itself would let
 * all daemons send at once to an endpoint that none of them has asked lately.
 */
export class EndpointLimits {
  readonly #told = new Map<string, ToldLimit>();
  #checksum = 0;

  /** 0 without any limit; equal for daemons that know the same ones. */
  get checksum(): number {
    return this.#checksum;
  }

  /** Endpoints with a limit. */
  get size(): number {
    return [...this.#told.values()]
      .filter(({ perSecond }) => perSecond !== undefined).length;
  }

  /** The limit in force; undefined for none. */
  of({ id, bornAt }: AnsweringEndpoint): number | undefined {
    const known = this.#told.get(id);
    if (known === undefined) return undefined;
    const isSameLife = known.bornAt === undefined || bornAt === undefined ||
      known.bornAt === bornAt;
    return isSameLife ? known.perSecond : undefined;
  }

  /**
   * Takes in what an answer said of its endpoint's limit, undefined for none;
   * true when that changes what is in force.
   */
  tell(
    life: AnsweringEndpoint,
    perSecond: number | undefined,
    at: number,
  ): boolean {
    const known = this.#told.get(life.id);
    if (known !== undefined && at < known.at) return false;
    const hasChanged = this.#put(life, perSecond, at);
    if (hasChanged) this.#forget(at);
    return hasChanged;
  }

  /** Takes in a limit that can't be read: the one before stays. */
  tellUnreadable(life: AnsweringEndpoint, at: number): boolean {
    return this.tell(life, this.of(life) ?? PRESUMED_PER_SECOND, at);
  }

  /** What is known, for other daemons. */
  page(now: number): readonly AgedLimit[] {
    this.#forget(now);
    return [...this.#told].map((
      [id, { bornAt, perSecond, at }],
    ): AgedLimit => ({
      id,
      bornAt,
      perSecond,
      ageMilliseconds: Math.max(0, now - at),
    }));
  }

  /** Takes in what another daemon knows; false when nothing changes. */
  take(page: readonly AgedLimit[], now: number): boolean {
    let hasChanged = false;
    for (const { perSecond, ageMilliseconds, ...life } of page) {
      const at = now - ageMilliseconds;
      const known = this.#told.get(life.id);
      if (known !== undefined && !isNews({ perSecond, at }, known)) continue;
      hasChanged = this.#put(life, perSecond, at) || hasChanged;
    }
    if (hasChanged) this.#forget(now);
    return hasChanged;
  }

  #put(
    { id, bornAt }: AnsweringEndpoint,
    perSecond: number | undefined,
    at: number,
  ): boolean {
    const known = this.#told.get(id);
    if (known === undefined && perSecond === undefined) return false;
    const isEarlierLife = known?.bornAt !== undefined &&
      bornAt !== undefined && bornAt < known.bornAt;
    if (isEarlierLife) return false;
    this.#told.set(id, { bornAt: bornAt ?? known?.bornAt, perSecond, at });
    return known?.perSecond !== perSecond;
  }

  #settle(): void {
    let checksum = 0;
    for (const [id, { perSecond }] of this.#told) {
      if (perSecond === undefined) continue;
      checksum = (checksum + hashText(`${id} ${perSecond}`)) >>> 0;
    }
    this.#checksum = checksum;
  }

  #forget(now: number): void {
    for (const [id, { perSecond, at }] of this.#told) {
      const kept = perSecond === undefined
        ? ENDED_MILLISECONDS
        : SILENT_MILLISECONDS;
      if (now - at > kept) this.#told.delete(id);
    }
    this.#settle();
  }
}

/** Whether another daemon's word goes before what is known. */
function isNews(
  word: Pick<ToldLimit, "perSecond" | "at">,
  known: ToldLimit,
): boolean {
  if (Math.abs(word.at - known.at) > SAME_TIME_MILLISECONDS) {
    return word.at > known.at;
  }
  const none = Number.POSITIVE_INFINITY;
  return (word.perSecond ?? none) < (known.perSecond ?? none);
}
