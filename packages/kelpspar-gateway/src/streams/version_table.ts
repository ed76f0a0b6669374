import type { RandomSource, TimerService } from "kelpspar-shared";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { CheckedRows } from "../tables/checked_rows.ts";
import type { StoredRow } from "../tables/row_range_store.ts";
import type { StoreClock } from "../tables/store_clock.ts";
import type { StoreEra } from "../tables/store_era.ts";
import type { RecentMembers, RecordedGroup } from "./recent_members.ts";
import { mergeMembers } from "kelpspar-decisions/history";
import { z } from "zod";
import { MAXIMUM_ROW_CHANGES } from "../tables/row_range_store.ts";
import { retryUntilSuccess } from "../tables/retry_until_success.ts";
import {
  ABSENCE_MILLISECONDS,
  STREAM_LIFETIME_MILLISECONDS,
} from "./recent_members.ts";

/** kelpspar's own table of software versions, a row for each group. */
const VERSIONS_TABLE = "versions";
/** Delay after a failed call, milliseconds. */
const RETRY_DELAY_MILLISECONDS = 300;
/** Time in which a daemon that starts learns of the others, milliseconds. */
const DISCOVERY_MILLISECONDS = 1_000;
/** Between the checks of the daemons that write first, milliseconds. */
const RECORDER_DELAY_MILLISECONDS = 100;
/** The others check after the recorders, milliseconds. */
const OTHERS_DELAY_MILLISECONDS = 1_000;
/** The others' checks are spread over this time for each daemon, milliseconds. */
const OTHERS_SPREAD_MILLISECONDS = 10;

/** Keys are limited to 200 bytes; groups with longer names aren't recorded. */
const MAXIMUM_KEY_BYTES = 200;

const groupSchema = z.object({
  members: z.array(z.object({
    name: z.string(),
    cameAt: z.number(),
    leftAt: z.number().nullable(),
  })),
});

/** A group's row. */
interface GroupRow {
  /** Undefined if another writer overwrote the row. */
  readonly members: RecordedGroup["members"] | undefined;
  /** Version of the row; 0 if there is none. */
  readonly version: number;
}

/** A row that is to be written. */
interface ChangedRow extends GroupRow {
  readonly group: string;
  readonly members: RecordedGroup["members"];
}

/** Dependencies of `VersionTable`. */
export interface VersionTableOptions {
  readonly history: Pick<RecentMembers, "seen" | "recall" | "markRecorded">;
  /** Groups that matter to streams that may be resumed. */
  readonly groups: () => ReadonlySet<string>;
  readonly rows: Pick<CheckedRows, "isKnown" | "readRows" | "writeRows">;
  readonly clock: StoreClock;
  readonly era: StoreEra;
  /** Place of this daemon among those that write first; -1 if it has none. */
  readonly recorderRank: () => number;
  /** Number of known daemons, including this one. */
  readonly fleetSize: () => number;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: GatewayLog;
}

/**
 * The software versions of services, and the services of routes, in the store,
 * for daemons that start when no other daemon knows them any more. Read once at
 * the start; a row is written when a member of its group comes or goes.
 */
export class VersionTable {
  readonly #options: VersionTableOptions;
  /** Aborted by the teardown; stops retries. */
  readonly #stop = new AbortController();
  readonly #read: Promise<void>;
  #resolveRead = (): void => {};
  #isStarted = false;
  #isRead = false;
  #isCheckDue = false;
  #isAbsenceDue = false;
  readonly #startedAt: number;
  /** The rows as last read or written, by group. */
  #rows: ReadonlyMap<string, GroupRow> = new Map();

  constructor(options: VersionTableOptions) {
    this.#options = options;
    this.#startedAt = options.timer.now();
    this.#read = new Promise((resolve) => this.#resolveRead = resolve);
  }

  /** True once the table was read, whether or not it has rows of the groups. */
  wasRead(groups: readonly string[]): boolean {
    return this.#isRead && !groups.some((group) => {
      const row = this.#rows.get(group);
      return row !== undefined && row.members === undefined;
    });
  }

  /** Resolves once the table was read. */
  whenRead(): Promise<void> {
    return this.#read;
  }

  /** Checks the rows again after the store was restored; returns the teardown. */
  register(): () => void {
    const { era } = this.#options;
    const unregister = era.registerListener(() => this.#scheduleCheck());
    return () => {
      unregister();
      this.#stop.abort();
    };
  }

  /** Reads the table once there are streams that may be resumed. */
  #start(): void {
    const { groups, rows } = this.#options;
    const mayRead = groups().size > 0 && rows.isKnown;
    if (!mayRead || this.#isStarted) return;
    this.#isStarted = true;
    this.#retry("failed to read software versions", async () => {
      await this.#readRows();
      const { history, log } = this.#options;
      for (const [group, { members }] of this.#rows) {
        if (members !== undefined) history.markRecorded(group);
      }
      this.#isRead = true;
      this.#resolveRead();
      log.info("software versions read", { groups: this.#rows.size });
      // Members that left while no daemon ran are removed once they expire.
      this.#after(STREAM_LIFETIME_MILLISECONDS, () => this.update());
      this.update();
    });
  }

  /** To be called when groups or their members have come or gone. */
  update(): void {
    this.#start();
    this.#checkIfChanged();
    if (this.#isAbsenceDue) return;
    this.#isAbsenceDue = true;
    this.#after(ABSENCE_MILLISECONDS, () => {
      this.#isAbsenceDue = false;
      this.#checkIfChanged();
    });
  }

  /** Schedules a check if the rows as known here are to be changed. */
  #checkIfChanged(): void {
    if (this.#isRead && this.#findChanges().length > 0) this.#scheduleCheck();
  }

  /** Compares the rows with this daemon's list soon, and corrects them. */
  #scheduleCheck(): void {
    if (!this.#isRead || this.#isCheckDue) return;
    this.#isCheckDue = true;
    const discovery = this.#startedAt + DISCOVERY_MILLISECONDS -
      this.#options.timer.now();
    this.#after(discovery, () =>
      this.#after(this.#checkDelay(), () => {
        this.#isCheckDue = false;
        this.#retry("failed to check software versions", () => this.#check());
      }));
  }

  /** Calls `listener` after `milliseconds`, unless torn down before. */
  #after(milliseconds: number, listener: () => void): void {
    const { signal } = this.#stop;
    if (signal.aborted) return;
    const onStop = (): void => stopTimer();
    const stopTimer = this.#options.timer.registerTimeout(() => {
      signal.removeEventListener("abort", onStop);
      listener();
    }, Math.max(0, milliseconds));
    signal.addEventListener("abort", onStop, { once: true });
  }

  /** Recorders write one after the other, and the rest only reads. */
  #checkDelay(): number {
    const { recorderRank, fleetSize, random } = this.#options;
    const rank = recorderRank();
    return rank >= 0
      ? rank * RECORDER_DELAY_MILLISECONDS
      : OTHERS_DELAY_MILLISECONDS +
        random.next() * fleetSize() * OTHERS_SPREAD_MILLISECONDS;
  }

  async #check(): Promise<void> {
    await this.#readRows();
    const changed = this.#findChanges().slice(0, MAXIMUM_ROW_CHANGES);
    if (changed.length === 0) return;
    const { rows, log } = this.#options;
    const { isWritten } = await rows.writeRows(VERSIONS_TABLE, {
      puts: changed.map(({ group, members, version }) => ({
        key: group,
        text: JSON.stringify({ members }),
        version,
      })),
    });
    // Another daemon wrote meanwhile, or there were too many for one call.
    if (!isWritten || changed.length === MAXIMUM_ROW_CHANGES) {
      this.#scheduleCheck();
    }
    if (!isWritten) return;
    this.#applyRows(
      new Map([
        ...this.#rows,
        ...changed.map((row) => [row.group, row] as const),
      ]),
    );
    log.info("software versions recorded", {
      groups: changed.map(({ group, members }) =>
        `${group}: ${members.map(({ name }) => name).join(" ")}`
      ).join(),
    });
  }

  async #readRows(): Promise<void> {
    const answer = await this.#options.rows.readRows(VERSIONS_TABLE);
    this.#applyRows(
      new Map(
        answer.rows.map((row) => [row.key, {
          members: this.#decode(row),
          version: row.version,
        }]),
      ),
    );
  }

  /** Adds recorded members to those that are known. */
  #applyRows(rows: ReadonlyMap<string, GroupRow>): void {
    const { history, clock } = this.#options;
    const clockMilliseconds = clock.now ?? 0;
    this.#rows = rows;
    for (const [group, { members }] of rows) {
      if (members === undefined) continue;
      history.recall({ group, members, clockMilliseconds });
    }
  }

  /** Rows that differ from what this daemon sees. */
  #findChanges(): readonly ChangedRow[] {
    const { history, groups, clock } = this.#options;
    return [...groups()].flatMap((group) => {
      if (Buffer.byteLength(group) > MAXIMUM_KEY_BYTES) return [];
      const row = this.#rows.get(group);
      const members = mergeMembers({
        recorded: row?.members ?? [],
        seen: history.seen(group),
        now: clock.now ?? 0,
        keptMilliseconds: STREAM_LIFETIME_MILLISECONDS,
      });
      const version = row?.version ?? 0;
      return members === undefined ? [] : [{ group, members, version }];
    });
  }

  /** Undefined if another writer overwrote the row. */
  #decode({ key, text }: StoredRow): RecordedGroup["members"] | undefined {
    try {
      return groupSchema.parse(JSON.parse(text)).members;
    } catch (error) {
      this.#options.log.warn("invalid row of software versions", {
        group: key,
        reason: error instanceof Error ? error.message : String(error),
      });
      return undefined;
    }
  }

  /** Retries `operation` until it succeeds. */
  #retry(message: string, operation: () => Promise<void>): void {
    void retryUntilSuccess({
      ...this.#options,
      operation,
      message,
      retryDelayMilliseconds: RETRY_DELAY_MILLISECONDS,
      signal: this.#stop.signal,
    });
  }
}
