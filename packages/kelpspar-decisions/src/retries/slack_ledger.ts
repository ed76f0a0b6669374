/** Part of the slack that may be spent until its expiry. */
export interface SlackLoan {
  readonly amount: number;
  /** When it no longer counts in any window, by the store's clock. */
  readonly endsAt: number;
}

/** Loans of one service's slack, as kept in the platform's store. */
export interface SlackLedger {
  /** Era of the store in which the loans were recorded; null if it has none. */
  readonly era: number | null;
  /** Largest size of the fleet that was seen lately. */
  readonly daemons: number;
  /** Until when that size counts, by the store's clock. */
  readonly daemonsUntil: number;
  readonly loans: readonly SlackLoan[];
}

/** The fleet's limit for retries of one service. */
export interface RetryLimits {
  /** Retries allowed for each request in the window. */
  readonly ratio: number;
  /** Retries that the fleet may make in a window in addition. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/** A request for part of the slack. */
export interface SlackRequest {
  readonly limits: RetryLimits;
  readonly wanted: number;
  /** How long a loan may be spent, milliseconds. */
  readonly leaseMilliseconds: number;
  /** Known size of the fleet. */
  readonly daemons: number;
  /** The store's clock, milliseconds. */
  readonly now: number;
  /** The store's current era; null if it reports none. */
  readonly era: number | null;
  /** Whether loans of earlier eras may still count in a window. */
  readonly isEraRecent: boolean;
}

/** Answer to a `SlackRequest`. */
export interface SlackReservation {
  readonly granted: number;
  /** Replaces the ledger; undefined if it stays as it is. */
  readonly ledger: SlackLedger | undefined;
  /** Time until more of the slack is free, if not all was granted. */
  readonly retryAfterMilliseconds: number;
}

/**
 * Share of the slack that is allocated. The rest covers sends that are delayed
 * on their way and daemons that aren't known yet.
 */
const ALLOCATED_SHARE = 0.9;
/** Share of the slack that earned credits of all daemons may take. */
const CREDITS_SHARE = 0.5;
const MAXIMUM_CREDITS = 1;
/**
 * How long the largest size of the fleet counts, milliseconds. A daemon that is
 * cut off from the others for long knows none of them.
 */
const FLEET_SIZE_MILLISECONDS = 600_000;
/** Far above any fleet; larger ones come from another writer. */
const MAXIMUM_DAEMONS = 100_000;

/**
 * Credits that each daemon may hold. The credits that all hold when a window
 * begins are part of its slack.
 */
export function creditCapacity(slack: number, daemons: number): number {
  return Math.min(MAXIMUM_CREDITS, slack * CREDITS_SHARE / daemons);
}

/** Slack that may be lent at the same time in a fleet of this size. */
export function lendableSlack(slack: number, daemons: number): number {
  const credits = daemons * creditCapacity(slack, daemons);
  return Math.max(0, Math.floor(slack * ALLOCATED_SHARE - credits));
}

/**
 * Reserves part of the slack in a service's ledger. A loan counts until a window
 * after its lease, so that all loans spent within any window are recorded in the
 * ledger at the window's end. A ledger of another writer is replaced by one in
 * which all of the slack is lent.
 */
export function reserveSlack(
  ledger: SlackLedger | "unreadable" | undefined,
  request: SlackRequest,
): SlackReservation {
  const { limits, now, era, wanted } = request;
  const countedMilliseconds = limits.windowMilliseconds +
    request.leaseMilliseconds;
  if (ledger === "unreadable") {
    return blockLending(request, countedMilliseconds);
  }
  const isCurrent = ledger?.era === era;
  if (
    isCurrent && ledger !== undefined &&
    !isPlausible(ledger, { now, countedMilliseconds })
  ) {
    return blockLending(request, countedMilliseconds);
  }
  if (!isCurrent && request.isEraRecent) {
    return blockLending(request, countedMilliseconds);
  }
  const known = isCurrent && ledger !== undefined && ledger.daemonsUntil > now
    ? ledger
    : undefined;
  const isLargest = request.daemons >= (known?.daemons ?? 0);
  const daemons = Math.max(request.daemons, known?.daemons ?? 0);
  const loans = isCurrent && ledger !== undefined
    ? ledger.loans.filter(({ endsAt }) => endsAt > now)
    : [];
  const lent = loans.reduce((sum, { amount }) => sum + amount, 0);
  const free = lendableSlack(limits.slack, daemons) - lent;
  const granted = Math.max(0, Math.min(wanted, free));
  const retryAfterMilliseconds = granted >= wanted
    ? 0
    : Math.min(countedMilliseconds, ...loans.map(({ endsAt }) => endsAt - now));
  if (granted === 0) {
    return { granted, ledger: undefined, retryAfterMilliseconds };
  }
  const daemonsUntil = isLargest || known === undefined
    ? now + FLEET_SIZE_MILLISECONDS
    : known.daemonsUntil;
  const loan = { amount: granted, endsAt: now + countedMilliseconds };
  return {
    granted,
    ledger: { era, daemons, daemonsUntil, loans: [...loans, loan] },
    retryAfterMilliseconds,
  };
}

/** False for a ledger that no daemon can have written. */
function isPlausible(
  { daemons, daemonsUntil, loans }: SlackLedger,
  { now, countedMilliseconds }: {
    readonly now: number;
    readonly countedMilliseconds: number;
  },
): boolean {
  return daemons >= 0 && daemons <= MAXIMUM_DAEMONS &&
    daemonsUntil <= now + FLEET_SIZE_MILLISECONDS &&
    loans.every(({ amount, endsAt }) =>
      amount >= 0 && endsAt <= now + countedMilliseconds
    );
}

/** Records all of the slack as lent, since earlier loans are unknown. */
function blockLending(
  { limits, daemons, now, era }: SlackRequest,
  countedMilliseconds: number,
): SlackReservation {
  const endsAt = now + countedMilliseconds;
  return {
    granted: 0,
    ledger: {
      era,
      daemons,
      daemonsUntil: now + FLEET_SIZE_MILLISECONDS,
      loans: [{ amount: limits.slack, endsAt }],
    },
    retryAfterMilliseconds: countedMilliseconds,
  };
}
