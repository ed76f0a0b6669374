import type { AnsweringEndpoint } from "./endpoint_notices.ts";

/** What one life of an endpoint said last of its limit. */
interface ToldLimit {
  readonly bornAt: number | undefined;
  /** Undefined once it named none any more. */
  readonly perSecond: number | undefined;
  /** When it said so, monotonic milliseconds. */
  readonly at: number;
}

/**
 * The limits that endpoints name, requests a second from all daemons together.
 * A limit is of one life of an endpoint, and stays while its entry is missing.
 */
export class EndpointLimits {
  readonly #told = new Map<string, ToldLimit>();

  /**
   * Takes in what an endpoint said of its limit, undefined for none; true when
   * that changes what is in force.
   */
  tell(
    { id, bornAt }: AnsweringEndpoint,
    perSecond: number | undefined,
    at: number,
  ): boolean {
    const known = this.#told.get(id);
    if (known === undefined && perSecond === undefined) return false;
    const isEarlierLife = known?.bornAt !== undefined &&
      bornAt !== undefined && bornAt < known.bornAt;
    if (isEarlierLife || (known !== undefined && at < known.at)) return false;
    this.#told.set(id, { bornAt, perSecond, at });
    return known?.perSecond !== perSecond;
  }

  /** The limit in force; undefined for none. */
  of({ id, bornAt }: AnsweringEndpoint): number | undefined {
    const known = this.#told.get(id);
    if (known === undefined) return undefined;
    const isSameLife = known.bornAt === undefined || bornAt === undefined ||
      known.bornAt === bornAt;
    return isSameLife ? known.perSecond : undefined;
  }
}
