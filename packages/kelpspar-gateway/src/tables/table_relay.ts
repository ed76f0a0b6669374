import type { TimerService } from "kelpspar-shared";
import type { MissingEntryGracePeriod } from "../endpoints/missing_entry_grace_period.ts";
import type { TableFreshness } from "./table_freshness.ts";
import type { StoreEra } from "./store_era.ts";
import type { FollowAnswer, FollowRequest } from "./table_changes.ts";
import type { TableMirror } from "./table_mirror.ts";

/** Options of `TableRelay`. */
export interface TableRelayOptions {
  readonly mirrors: ReadonlyMap<string, TableMirror>;
  readonly era: StoreEra;
  readonly freshness: TableFreshness;
  readonly gracePeriod: MissingEntryGracePeriod;
  readonly timer: TimerService;
}

/** Longest wait that a follower may request, milliseconds. */
const MAXIMUM_WAIT_MILLISECONDS = 10_000;

/** Relays this daemon's copies of the store's tables to followers. */
export class TableRelay {
  readonly #options: TableRelayOptions;
  /** Callbacks of requests that wait for a change. */
  readonly #waiters = new Set<() => void>();

  constructor(options: TableRelayOptions) {
    this.#options = options;
    // Followers compute the age of their list from each confirmation.
    options.freshness.registerListener(() => this.changed());
  }

  /** Completes the waiting requests. */
  changed(): void {
    for (const waiter of [...this.#waiters]) waiter();
  }

  /** Answers at once if there are changes, otherwise when there are. */
  async answer(
    request: FollowRequest,
    gone: AbortSignal,
  ): Promise<FollowAnswer> {
    const { era } = this.#options;
    era.told(request.era);
    const hasChanges = request.era !== (era.current ?? null) ||
      request.wasFresh !== this.#isFresh || this.#hasRows(request);
    if (!hasChanges) await this.#wait(request.waitMilliseconds, gone);
    return this.#createAnswer(request);
  }

  /** Whether all tables are known and up to date. */
  get #isFresh(): boolean {
    const { freshness, mirrors } = this.#options;
    return freshness.isFresh &&
      [...mirrors.values()].every(({ version }) => version !== undefined);
  }

  #hasRows(request: FollowRequest): boolean {
    return Object.entries(request.versions).some(([table, version]) => {
      const changes = this.#options.mirrors.get(table)?.changesSince(version);
      return changes !== undefined &&
        (changes.isWhole || changes.rows.length > 0);
    });
  }

  #createAnswer(request: FollowRequest): FollowAnswer {
    const { era, freshness, gracePeriod, mirrors, timer } = this.#options;
    const now = timer.now();
    // Versions of another era can't be compared.
    const isSameEra = request.era === (era.current ?? null);
    const asked = Object.entries(request.versions);
    const tables = asked.flatMap(([table, version]) => {
      const known = isSameEra ? version : null;
      const changes = mirrors.get(table)?.changesSince(known, {
        omitsUnchanged: request.omitsUnchanged === true,
      });
      if (changes === undefined) return [];
      const { unchanged } = changes;
      return [{
        ...changes,
        rows: [...changes.rows],
        unchanged: unchanged === undefined ? undefined : [...unchanged],
      }];
    });
    const age = freshness.age(now);
    return {
      era: era.current ?? null,
      isFresh: this.#isFresh && tables.length === asked.length,
      ageMilliseconds: Number.isFinite(age) ? age : Number.MAX_SAFE_INTEGER,
      lapseMilliseconds: Math.max(0, (gracePeriod.endsAt(now) ?? now) - now),
      tables,
    };
  }

  #wait(milliseconds: number, gone: AbortSignal): Promise<void> {
    const limit = Math.min(milliseconds, MAXIMUM_WAIT_MILLISECONDS);
    return new Promise((resolve) => {
      const end = (): void => {
        stop();
        this.#waiters.delete(end);
        gone.removeEventListener("abort", end);
        resolve();
      };
      const stop = this.#options.timer.registerTimeout(end, limit);
      this.#waiters.add(end);
      gone.addEventListener("abort", end, { once: true });
    });
  }
}
