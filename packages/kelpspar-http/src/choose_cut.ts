import type { CallerHolding } from "./caller_holding.ts";

/** Without progress for this long a body or an answer counts as stalled. */
export const STALLED_MILLISECONDS = 1_000;

/** Options of `chooseCut`. */
export interface ChooseCutOptions {
  /** Current monotonic time, milliseconds. */
  readonly now: number;
  /** Whether it would help to give up this holding. */
  readonly isEligible: (holding: CallerHolding) => boolean;
}

/**
 * Chooses what is given up first: of the address that holds most, what has
 * stalled longest, bodies before answers, or else what is largest.
 */
export function chooseCut(
  holdings: Iterable<CallerHolding>,
  { now, isEligible }: ChooseCutOptions,
): CallerHolding | undefined {
  const held = new Map<string, number>();
  const candidates: CallerHolding[] = [];
  for (const holding of holdings) {
    const { address, bytes } = holding;
    held.set(address, (held.get(address) ?? 0) + bytes);
    if (holding.isCuttable && bytes > 0 && isEligible(holding)) {
      candidates.push(holding);
    }
  }
  const heaviest = best(
    candidates,
    (one, other) =>
      (held.get(one.address) ?? 0) > (held.get(other.address) ?? 0),
  )?.address;
  const own = candidates.filter(({ address }) => address === heaviest);
  const stalled = own.filter(({ progressedAt }) =>
    now - progressedAt >= STALLED_MILLISECONDS
  );
  const bodies = stalled.filter(({ state }) => state === "arriving");
  return best(
    bodies.length > 0 ? bodies : stalled,
    (one, other) => one.progressedAt < other.progressedAt,
  ) ?? best(own, (one, other) => one.bytes > other.bytes);
}

/** The first of the items that no other one goes before. */
function best<Item>(
  items: readonly Item[],
  goesBefore: (one: Item, other: Item) => boolean,
): Item | undefined {
  const [first, ...others] = items;
  if (first === undefined) return undefined;
  return others.reduce(
    (found, next) => goesBefore(next, found) ? next : found,
    first,
  );
}
