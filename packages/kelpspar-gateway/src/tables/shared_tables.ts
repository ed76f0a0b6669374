import type { RandomSource, TimerService } from "kelpspar-shared";
import type { MissingEntryGracePeriod } from "../endpoints/missing_entry_grace_period.ts";
import type { AnomalyLog } from "../log/anomaly_log.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { ReadingPlan } from "./reading_plan.ts";
import type { RelayTimes } from "./relay_times.ts";
import type { StoreEra } from "./store_era.ts";
import type { FollowAnswer, FollowRequest } from "./table_changes.ts";
import type { FeedTimes } from "./table_feed.ts";
import type { FollowClient } from "./table_follower.ts";
import type { TableListener } from "./table_mirror.ts";
import type { TableRow, TableStore } from "./table_store.ts";
import { ListFreshness } from "./list_freshness.ts";
import { RestoreReport } from "./restore_report.ts";
import { TableFeed } from "./table_feed.ts";
import { TableFollower } from "./table_follower.ts";
import { TableMirror } from "./table_mirror.ts";
import { TableRelay } from "./table_relay.ts";

/** A table that is followed. */
export interface TableSubscription extends TableListener {
  readonly table: string;
  /** Told to daemons that don't read it themselves. */
  readonly isRelayed: boolean;
  /**
   * Its calls show whether this daemon's tables are as the store has them; the
   * one that is read most often.
   */
  readonly isPulse: boolean;
  /** When the store is asked for it, unless `isPulse` and passed on. */
  readonly times: FeedTimes;
  readonly isUrgent?: () => boolean;
  /** Whether a row that was written again says nothing new to others. */
  readonly isSameRow?: (known: TableRow, row: TableRow) => boolean;
  /** Told of an answer of the store, before what it holds is taken. */
  readonly answered?: () => void;
  /** Told when a call to the store that began at `startedAt` failed. */
  readonly failed?: (startedAt: number) => void;
  /** Told that another daemon confirmed the table; see `FollowAnswer`. */
  readonly confirmed?: (heldUntil: number | undefined) => void;
  /** Told that versions and absences learned before mean nothing any more. */
  readonly restored?: () => void;
}

/** What shared tables work with. */
export interface SharedTablesOptions {
  readonly store: TableStore;
  readonly era: StoreEra;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: GatewayLog;
  readonly anomalies: Pick<AnomalyLog, "note">;
  /** Decides whether a missing entry lapsed or its endpoint has left. */
  readonly lapses: MissingEntryGracePeriod;
  /** Undefined where the bounds leave no time to pass tables on. */
  readonly relayTimes: RelayTimes | undefined;
  readonly client: FollowClient;
  readonly plan: () => ReadingPlan;
  /** Tables that are named in the log once the store was restored. */
  readonly reported: readonly string[];
  /** Told when the tables were last as the store has them. */
  readonly onConfirmed: (at: number) => void;
}

/**
 * A daemon that lost its source reads for itself this often, ms, and pauses so
 * long while its calls fail: a whole fleet does it at once, and hears of the
 * store's return from its sources.
 */
const OWN_PACE_MILLISECONDS = 1_100;
const OWN_PAUSE_MILLISECONDS = 2_000;
/** How often a daemon looks whether it is to read for others, milliseconds. */
const LOOK_MILLISECONDS = 250;

/**
 * The store's tables as this daemon knows them. A few daemons of each
 * availability zone read them at the store and pass changes on; the others
 * follow one of these, and read for themselves as long as none is fresh.
 */
export class SharedTables {
  readonly #options: SharedTablesOptions;
  readonly #mirrors = new Map<string, TableMirror>();
  readonly #relayed = new Map<string, TableMirror>();
  readonly #feeds: TableFeed[] = [];
  readonly #subscriptions: TableSubscription[] = [];
  readonly #freshness = new ListFreshness();
  readonly #relay: TableRelay;
  readonly #report: RestoreReport;
  /** The source was lost, and none was found since. */
  #isSourceLost = false;
  /** Whether it read for others when it last looked. */
  #wasReader = true;

  constructor(options: SharedTablesOptions) {
    this.#options = options;
    this.#relay = new TableRelay({
      ...options,
      mirrors: this.#relayed,
      freshness: this.#freshness,
    });
    this.#report = new RestoreReport({ ...options, tables: options.reported });
    options.era.registerListener(() => this.#restored());
  }

  /** Follows a table from `register` on. */
  add(subscription: TableSubscription): void {
    const { table, isRelayed, isSameRow } = subscription;
    const mirror = new TableMirror(table, {
      isSameRow,
      takeTable: (page) => {
        subscription.takeTable(page);
        this.#report.tableRead(table, page.rows.length);
      },
      takeChanges: (page) => subscription.takeChanges(page),
      changed: () => {
        if (isRelayed) this.#relay.changed();
      },
    });
    this.#mirrors.set(table, mirror);
    if (isRelayed) this.#relayed.set(table, mirror);
    this.#subscriptions.push(subscription);
    this.#feeds.push(this.#createFeed(subscription, mirror));
  }

  /** Begins to follow; returns the teardown. */
  register(): () => void {
    const { relayTimes } = this.#options;
    const teardowns = this.#feeds.map((feed) => feed.register());
    if (relayTimes !== undefined) {
      const follower = new TableFollower({
        ...this.#options,
        times: relayTimes,
        mirrors: this.#relayed,
        isNeeded: () => !this.#isReader || !this.#freshness.isFresh,
        onConfirmed: (answer) => this.#confirmed(answer),
        onLost: () => this.#lostSource(relayTimes.spreadMilliseconds),
      });
      teardowns.push(
        follower.register(),
        this.#options.timer.registerInterval(
          () => this.#look(),
          LOOK_MILLISECONDS,
        ),
      );
    }
    return () => teardowns.forEach((teardown) => teardown());
  }

  /** Takes in that the own row is as it should be after a restore. */
  ownRowKept(how: "found" | "written"): void {
    this.#report.ownRowKept(how);
  }

  /** Answers another daemon that follows this one. */
  answer(request: FollowRequest, gone: AbortSignal): Promise<FollowAnswer> {
    return this.#relay.answer(request, gone);
  }

  /** Whether this daemon reads the tables for itself and others. */
  get #isReader(): boolean {
    return this.#options.plan().isReader;
  }

  #createFeed(
    subscription: TableSubscription,
    mirror: TableMirror,
  ): TableFeed {
    const { isRelayed, isPulse, isUrgent } = subscription;
    return new TableFeed({
      ...this.#options,
      mirror,
      isUrgent,
      times: () => this.#timesOf(subscription),
      isNeeded: () => this.#isReader || (isRelayed && this.#isSourceLost),
      onAnswer: () => {
        subscription.answered?.();
        if (isPulse) this.#confirm(this.#options.timer.now());
      },
      onFailure: (startedAt) => {
        subscription.failed?.(startedAt);
        if (isPulse) this.#freshness.fail();
      },
    });
  }

  #timesOf({ isPulse, times }: TableSubscription): FeedTimes {
    const { relayTimes, plan } = this.#options;
    const { isShared, isReader } = plan();
    if (relayTimes === undefined || !isShared) return times;
    if (!isReader) {
      return {
        ...times,
        waitMilliseconds: 0,
        paceMilliseconds: OWN_PACE_MILLISECONDS,
        leastPauseMilliseconds: OWN_PAUSE_MILLISECONDS,
        longestPauseMilliseconds: OWN_PAUSE_MILLISECONDS,
      };
    }
    return isPulse ? { ...times, ...relayTimes } : times;
  }

  /** Takes in that another daemon confirmed the tables. */
  #confirmed(answer: FollowAnswer): void {
    const { timer } = this.#options;
    const now = timer.now();
    const { lapseMilliseconds, ageMilliseconds } = answer;
    const heldUntil = lapseMilliseconds > 0
      ? now + lapseMilliseconds
      : undefined;
    for (const one of this.#subscriptions) one.confirmed?.(heldUntil);
    this.#isSourceLost = false;
    this.#confirm(now - ageMilliseconds);
  }

  #confirm(at: number): void {
    this.#freshness.confirm(at);
    this.#options.onConfirmed(at);
  }

  /** Reads for itself soon, unless a source is found before. */
  #lostSource(withinMilliseconds: number): void {
    if (this.#isSourceLost) return;
    this.#isSourceLost = true;
    if (!this.#isReader) this.#freshness.fail();
    const { timer, random } = this.#options;
    timer.registerTimeout(() => {
      if (!this.#isSourceLost) return;
      this.#wake();
    }, random.next() * withinMilliseconds);
  }

  #restored(): void {
    for (const mirror of this.#mirrors.values()) mirror.forget();
    for (const one of this.#subscriptions) one.restored?.();
    this.#wake();
    this.#relay.changed();
  }

  /** A daemon that comes to read for others reads what it lacks at once. */
  #look(): void {
    const isReader = this.#isReader;
    if (isReader === this.#wasReader) return;
    this.#wasReader = isReader;
    this.#options.log.info("tables read", { isReader });
    this.#wake();
  }

  #wake(): void {
    for (const feed of this.#feeds) feed.wake();
  }
}
