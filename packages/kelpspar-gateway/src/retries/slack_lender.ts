import type {
  RetryLimits,
  SlackLedger,
  SlackReservation,
} from "kelpspar-decisions/retries";
import type { TimerService } from "kelpspar-shared";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { RowStore } from "../tables/row_store.ts";
import type { StoreEra } from "../tables/store_era.ts";
import type { ReportedEra } from "../tables/table_store.ts";
import type { SlackGrant } from "./slack_grant.ts";
import {
  lendableSlack,
  LoanPool,
  reserveSlack,
} from "kelpspar-decisions/retries";
import { z } from "zod";
import { GRANT_MILLISECONDS } from "./slack_grant.ts";

/** kelpspar's own table of lent slack, a row for each service. */
const LEDGER_TABLE = "retries";
/** How long reserved slack may be lent, milliseconds. */
const POOL_MILLISECONDS = 600;
const LEASE_MILLISECONDS = POOL_MILLISECONDS + GRANT_MILLISECONDS;
/** Reservations of one service in a window at most, apart from large ones. */
const RESERVATIONS_PER_WINDOW = 16;
/** Pause after a call to the store that failed, milliseconds. */
const FAILURE_PAUSE_MILLISECONDS = 1_000;
/** Reservations tried when other daemons reserve at the same time. */
const MAXIMUM_CONFLICTS = 3;

const ledgerSchema = z.object({
  era: z.number().nullable(),
  daemons: z.number(),
  daemonsUntil: z.number(),
  loans: z.array(z.object({ amount: z.number(), endsAt: z.number() })),
});

/** Dependencies of a `SlackLender`. */
export interface SlackLenderOptions {
  readonly limits: RetryLimits;
  /** Undefined until this daemon knows the store. */
  readonly store: () => RowStore | undefined;
  readonly era: Pick<
    StoreEra,
    "current" | "knownSince" | "changedAt" | "checkAnswer"
  >;
  /** Number of known daemons, including this one. */
  readonly fleetSize: () => number;
  readonly timer: TimerService;
  readonly log: GatewayLog;
}

/** Retries of one service that were reserved and not lent yet. */
interface ServicePool {
  readonly loans: LoanPool;
  /** Retries that calls in progress still need. */
  wanted: number;
  reserving: Promise<void> | undefined;
  /** No reservation before; monotonic milliseconds. */
  emptyUntil: number;
}

/**
 * Lends the fleet's slack to daemons. All loans of a window are recorded in the
 * store, in a row for each service that is written only if nobody else has
 * changed it. Several daemons may lend at the same time, and loans outlive the
 * daemons that made and spent them.
 */
export class SlackLender {
  readonly #options: SlackLenderOptions;
  readonly #pools = new Map<string, ServicePool>();

  constructor(options: SlackLenderOptions) {
    this.#options = options;
  }

  /** Lends up to `count` retries of a service. */
  async lend(service: string, count: number): Promise<SlackGrant> {
    const { timer } = this.#options;
    const pool = this.#poolOf(service);
    let granted = pool.loans.take(count, timer.now());
    if (granted < count && pool.emptyUntil <= timer.now()) {
      pool.wanted += count - granted;
      pool.reserving ??= this.#reserve(service, pool);
      await pool.reserving;
      granted += pool.loans.take(count - granted, timer.now());
    }
    const retryAfterMilliseconds = granted === count
      ? 0
      : Math.max(0, pool.emptyUntil - timer.now());
    return { granted, retryAfterMilliseconds };
  }

  #poolOf(service: string): ServicePool {
    const known = this.#pools.get(service);
    if (known !== undefined) return known;
    const pool: ServicePool = {
      loans: new LoanPool(),
      wanted: 0,
      reserving: undefined,
      emptyUntil: Number.NEGATIVE_INFINITY,
    };
    this.#pools.set(service, pool);
    return pool;
  }

  async #reserve(service: string, pool: ServicePool): Promise<void> {
    const { timer, log } = this.#options;
    try {
      // Calls that arrive together share a reservation.
      await Promise.resolve();
      await this.#reserveOnce(service, pool);
    } catch (error) {
      pool.emptyUntil = timer.now() + FAILURE_PAUSE_MILLISECONDS;
      log.warn("failed to reserve retries", {
        service,
        reason: error instanceof Error ? error.message : String(error),
      });
    } finally {
      pool.wanted = 0;
      pool.reserving = undefined;
    }
  }

  async #reserveOnce(service: string, pool: ServicePool): Promise<void> {
    const { timer, log } = this.#options;
    for (let tried = 0; tried < MAXIMUM_CONFLICTS; tried++) {
      const startedAt = timer.now();
      const reservation = await this.#tryReserve(service, pool.wanted);
      if (reservation === undefined) continue;
      const { granted, retryAfterMilliseconds } = reservation;
      pool.loans.add(granted, startedAt + POOL_MILLISECONDS);
      if (retryAfterMilliseconds > 0) {
        pool.emptyUntil = timer.now() + retryAfterMilliseconds;
      }
      log.info("retries reserved", {
        service,
        wanted: pool.wanted,
        granted,
        daemons: this.#options.fleetSize(),
        retryAfterMilliseconds: Math.round(retryAfterMilliseconds),
      });
      return;
    }
    throw new Error("Other daemons reserved at the same time");
  }

  /** Undefined if another daemon has changed the ledger meanwhile. */
  async #tryReserve(
    service: string,
    wanted: number,
  ): Promise<SlackReservation | undefined> {
    const { limits, era, fleetSize, timer } = this.#options;
    const store = this.#options.store();
    if (store === undefined) throw new Error("The store isn't known yet");
    const readAt = timer.now();
    const row = await store.readRow(LEDGER_TABLE, service);
    this.#checkEra(row.era, readAt);
    const usedEra = era.current;
    const ledger = decodeLedger(row.text);
    const daemons = fleetSize();
    const chunk = Math.ceil(
      lendableSlack(limits.slack, daemons) / RESERVATIONS_PER_WINDOW,
    );
    const reservation = reserveSlack(ledger, {
      limits,
      wanted: Math.max(wanted, chunk),
      leaseMilliseconds: LEASE_MILLISECONDS,
      daemons,
      now: row.clockMilliseconds,
      era: usedEra ?? null,
      isEraRecent: this.#isEraRecent(ledger !== undefined),
    });
    if (reservation.ledger === undefined) return reservation;
    const writtenAt = timer.now();
    const { isWritten, era: writtenEra } = await store.writeRow(
      LEDGER_TABLE,
      service,
      { text: JSON.stringify(reservation.ledger), version: row.version },
    );
    this.#checkEra(writtenEra, writtenAt);
    if (era.current !== usedEra) throw new Error("The store was restored");
    return isWritten ? reservation : undefined;
  }

  #checkEra(reported: ReportedEra, startedAt: number): void {
    if (this.#options.era.checkAnswer(reported, startedAt) === "late") {
      throw new Error("The store answered from an earlier era");
    }
  }

  /**
   * Whether loans of an earlier era may still count. A daemon that starts can't
   * tell how old the era is, unless a ledger was written in it.
   */
  #isEraRecent(hasLedger: boolean): boolean {
    const { era, limits, timer } = this.#options;
    const since = hasLedger ? era.knownSince : era.changedAt;
    return timer.now() - since <
      limits.windowMilliseconds + LEASE_MILLISECONDS;
  }
}

/** Undefined if there is no ledger. */
function decodeLedger(
  text: string | undefined,
): SlackLedger | "unreadable" | undefined {
  if (text === undefined) return undefined;
  try {
    return ledgerSchema.parse(JSON.parse(text));
  } catch {
    return "unreadable";
  }
}
