import type { TimerService } from "kelpspar-shared";
import type { MissingEntryGracePeriod } from "../endpoints/missing_entry_grace_period.ts";
import type { ListFreshness } from "./list_freshness.ts";
import type { StoreEra } from "./store_era.ts";
import type { FollowAnswer, FollowRequest } from "./table_changes.ts";
import type { TableMirror } from "./table_mirror.ts";

/** What a relay tells from. */
export interface TableRelayOptions {
  readonly mirrors: ReadonlyMap<string, TableMirror>;
  readonly era: StoreEra;
  readonly freshness: ListFreshness;
  readonly lapses: MissingEntryGracePeriod;
  readonly timer: TimerService;
}

/** Longest wait that another daemon may ask for, milliseconds. */
const LONGEST_WAIT_MILLISECONDS = 10_000;

/** Passes on to other daemons what this one knows of the store's tables. */
export class TableRelay {
  readonly #options: TableRelayOptions;
  /** Those that wait for something to be told. */
  readonly #waiters = new Set<() => void>();

  constructor(options: TableRelayOptions) {
    this.#options = options;
    // Each confirmation is told: a follower counts the age of its list by it.
    options.freshness.registerListener(() => this.changed());
  }

  /** Answers those that wait. */
  changed(): void {
    for (const waiter of [...this.#waiters]) waiter();
  }

  /** Answers at once when there is something to tell, or once there is. */
  async answer(
    request: FollowRequest,
    gone: AbortSignal,
  ): Promise<FollowAnswer> {
    const { era } = this.#options;
    era.told(request.era);
    const isNews = request.era !== (era.current ?? null) ||
      request.wasFresh !== this.#isFresh || this.#hasRows(request);
    if (!isNews) await this.#wait(request.waitMilliseconds, gone);
    return this.#tell(request);
  }

  /** Whether all tables are known, and as the store has them. */
  get #isFresh(): boolean {
    const { freshness, mirrors } = this.#options;
    return freshness.isFresh &&
      [...mirrors.values()].every(({ version }) => version !== undefined);
  }

  #hasRows(request: FollowRequest): boolean {
    return Object.entries(request.versions).some(([table, version]) => {
      const changes = this.#options.mirrors.get(table)?.since(version);
      return changes !== undefined &&
        (changes.isWhole || changes.rows.length > 0);
    });
  }

  #tell(request: FollowRequest): FollowAnswer {
    const { era, freshness, lapses, mirrors, timer } = this.#options;
    const now = timer.now();
    // Versions of another era mean nothing here.
    const isSameEra = request.era === (era.current ?? null);
    const asked = Object.entries(request.versions);
    const tables = asked.flatMap(([table, version]) => {
      const known = isSameEra ? version : null;
      const changes = mirrors.get(table)?.since(known);
      return changes === undefined
        ? []
        : [{ ...changes, rows: [...changes.rows] }];
    });
    const age = freshness.age(now);
    return {
      era: era.current ?? null,
      isFresh: this.#isFresh && tables.length === asked.length,
      ageMilliseconds: Number.isFinite(age) ? age : Number.MAX_SAFE_INTEGER,
      lapseMilliseconds: Math.max(0, (lapses.endsAt(now) ?? now) - now),
      tables,
    };
  }

  #wait(milliseconds: number, gone: AbortSignal): Promise<void> {
    const limit = Math.min(milliseconds, LONGEST_WAIT_MILLISECONDS);
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
