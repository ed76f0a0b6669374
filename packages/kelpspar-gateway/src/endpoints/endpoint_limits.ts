import type { AgedLimit } from "./notice_page.ts";
import type { AnsweringEndpoint } from "./endpoint_notices.ts";
import { hashText } from "kelpspar-decisions/routing";

/** Latest limit reported by one incarnation of an endpoint. */
interface ReportedLimit {
  readonly bornAt: number | undefined;
  /** Undefined once the endpoint reports that it has no limit. */
  readonly perSecond: number | undefined;
  /** When it was reported, monotonic milliseconds. */
  readonly at: number;
}

/** Assumed for an endpoint whose first reported limit can't be parsed. */
const UNREADABLE_LIMIT_REQUESTS_PER_SECOND = 1;
/**
 * Reports that two daemons received within this time of each other may have
 * been sent in either order; the lower limit then applies.
 */
const CONCURRENT_REPORTS_MILLISECONDS = 250;
/**
 * How long the end of a limit is kept for daemons that still have the limit.
 */
const ENDED_LIMIT_RETENTION_MILLISECONDS = 60_000;
/**
 * A limit that no daemon has received for this time belongs to an endpoint that
 * is gone: the others are called every few seconds whatever their limit is.
 */
const LIMIT_RETENTION_MILLISECONDS = 600_000;

/**
 * Rate limits reported by endpoints, in requests per second from all daemons
 * together. A limit applies to one incarnation of an endpoint and stays in
 * force while its entry is missing. Only the endpoint can lift it: a limit that
 * expired would let all daemons send at once to an endpoint that none of them
 * has called recently.
 */
export class EndpointLimits {
  readonly #reported = new Map<string, ReportedLimit>();
  #checksum = 0;

  /** 0 without any limit; equal for daemons with the same limits. */
  get checksum(): number {
    return this.#checksum;
  }

  /** Number of endpoints with a limit. */
  get size(): number {
    return [...this.#reported.values()]
      .filter(({ perSecond }) => perSecond !== undefined).length;
  }

  /** The limit in force, requests per second; undefined for none. */
  limitOf({ id, bornAt }: AnsweringEndpoint): number | undefined {
    const known = this.#reported.get(id);
    if (known === undefined) return undefined;
    const isSameIncarnation = known.bornAt === undefined ||
      bornAt === undefined ||
      known.bornAt === bornAt;
    return isSameIncarnation ? known.perSecond : undefined;
  }

  /**
   * Records the limit reported in an endpoint's response, undefined for none;
   * returns whether the limit in force changes.
   */
  record(
    incarnation: AnsweringEndpoint,
    perSecond: number | undefined,
    at: number,
  ): boolean {
    const known = this.#reported.get(incarnation.id);
    if (known !== undefined && at < known.at) return false;
    const hasChanged = this.#set(incarnation, perSecond, at);
    if (hasChanged) this.#removeExpired(at);
    return hasChanged;
  }

  /**
   * Records a limit that can't be parsed; the previous limit stays in force.
   */
  recordUnreadable(incarnation: AnsweringEndpoint, at: number): boolean {
    return this.record(
      incarnation,
      this.limitOf(incarnation) ?? UNREADABLE_LIMIT_REQUESTS_PER_SECOND,
      at,
    );
  }

  /** The known limits, for other daemons. */
  page(now: number): readonly AgedLimit[] {
    this.#removeExpired(now);
    return [...this.#reported].map((
      [id, { bornAt, perSecond, at }],
    ): AgedLimit => ({
      id,
      bornAt,
      perSecond,
      ageMilliseconds: Math.max(0, now - at),
    }));
  }

  /** Merges another daemon's limits; returns false if nothing changes. */
  merge(page: readonly AgedLimit[], now: number): boolean {
    let hasChanged = false;
    for (const { perSecond, ageMilliseconds, ...incarnation } of page) {
      const at = now - ageMilliseconds;
      const known = this.#reported.get(incarnation.id);
      if (known !== undefined && !isNewer({ perSecond, at }, known)) continue;
      hasChanged = this.#set(incarnation, perSecond, at) || hasChanged;
    }
    if (hasChanged) this.#removeExpired(now);
    return hasChanged;
  }

  #set(
    { id, bornAt }: AnsweringEndpoint,
    perSecond: number | undefined,
    at: number,
  ): boolean {
    const known = this.#reported.get(id);
    if (known === undefined && perSecond === undefined) return false;
    const isEarlierIncarnation = known?.bornAt !== undefined &&
      bornAt !== undefined && bornAt < known.bornAt;
    if (isEarlierIncarnation) return false;
    this.#reported.set(id, { bornAt: bornAt ?? known?.bornAt, perSecond, at });
    return known?.perSecond !== perSecond;
  }

  #updateChecksum(): void {
    let checksum = 0;
    for (const [id, { perSecond }] of this.#reported) {
      if (perSecond === undefined) continue;
      checksum = (checksum + hashText(`${id} ${perSecond}`)) >>> 0;
    }
    this.#checksum = checksum;
  }

  #removeExpired(now: number): void {
    for (const [id, { perSecond, at }] of this.#reported) {
      const retentionMilliseconds = perSecond === undefined
        ? ENDED_LIMIT_RETENTION_MILLISECONDS
        : LIMIT_RETENTION_MILLISECONDS;
      if (now - at > retentionMilliseconds) this.#reported.delete(id);
    }
    this.#updateChecksum();
  }
}

/** Whether another daemon's report supersedes the known limit. */
function isNewer(
  report: Pick<ReportedLimit, "perSecond" | "at">,
  known: ReportedLimit,
): boolean {
  if (Math.abs(report.at - known.at) > CONCURRENT_REPORTS_MILLISECONDS) {
    return report.at > known.at;
  }
  const none = Number.POSITIVE_INFINITY;
  return (report.perSecond ?? none) < (known.perSecond ?? none);
}
