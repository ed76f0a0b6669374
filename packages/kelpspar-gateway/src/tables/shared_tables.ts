import type { RandomSource, TimerService } from "kelpspar-shared";
import type { MissingEntryGracePeriod } from "../endpoints/missing_entry_grace_period.ts";
import type { AnomalyLog } from "../log/anomaly_log.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { ReadingPlan } from "./reading_plan.ts";
import type { RelayTimes } from "./relay_times.ts";
import type { StoreEra } from "./store_era.ts";
import type { FollowAnswer, FollowRequest } from "./table_changes.ts";
import type { FeedTimes } from "./feed_times.ts";
import type { FollowClient } from "./table_follower.ts";
import type { TableListener } from "./table_mirror.ts";
import type { TableRow, TableStore } from "./table_store.ts";
import { TableFreshness } from "./table_freshness.ts";
import { RestoreReport } from "./restore_report.ts";
import { TableCatchUp } from "./table_catch_up.ts";
import { TableFeed } from "./table_feed.ts";
import { TableFollower } from "./table_follower.ts";
import { TableMirror } from "./table_mirror.ts";
import { TableRelay } from "./table_relay.ts";

/** A table that this daemon keeps a copy of. */
export interface TableSubscription extends TableListener {
  readonly table: string;
  /** Whether it is relayed to daemons that don't read it themselves. */
  readonly isRelayed: boolean;
  /**
   * Its calls determine whether this daemon's tables are up to date. Set on
   * the table that is read most often.
   */
  readonly isFreshnessProbe: boolean;
  /**
   * Whether it is read at once when the freshness probe's answers show that
   * another table changed, so that a change is applied in time although the
   * call that waits for it went silent. Default false.
   */
  readonly isReadPromptly?: boolean;
  /** When the store is polled, unless `isFreshnessProbe` and relayed. */
  readonly times: FeedTimes;
  readonly isUrgent?: () => boolean;
  /** Whether a rewritten row has no new information for followers. */
  readonly isSameRow?: (known: TableRow, row: TableRow) => boolean;
  /** Called on an answer of the store, before its rows are applied. */
  readonly answered?: () => void;
  /** Called when a store call that began at `startedAt` failed. */
  readonly failed?: (startedAt: number) => void;
  /** Called when another daemon confirmed the table; see `FollowAnswer`. */
  readonly confirmed?: (graceEndsAt: number | undefined) => void;
  /** Called when earlier versions and missing rows are no longer valid. */
  readonly restored?: () => void;
}

/** Options of `SharedTables`. */
export interface SharedTablesOptions {
  readonly store: TableStore;
  readonly era: StoreEra;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: GatewayLog;
  readonly anomalies: Pick<AnomalyLog, "note">;
  /** Decides whether a missing entry expired or its endpoint left. */
  readonly gracePeriod: MissingEntryGracePeriod;
  /** Undefined where the limits leave no time to relay tables. */
  readonly relayTimes: RelayTimes | undefined;
  readonly client: FollowClient;
  readonly plan: () => ReadingPlan;
  /** Tables that the log line of a store restore names. */
  readonly reportedTables: readonly string[];
  /** Receives the time when the tables were last confirmed up to date. */
  readonly onConfirmed: (at: number) => void;
}

/**
 * Poll interval and retry delay of a daemon that lost its source and reads for
 * itself, milliseconds. Both are long because the whole fleet may do so at
 * once, and followers learn of the store's recovery from their sources.
 */
const FALLBACK_POLL_MILLISECONDS = 1_100;
const FALLBACK_RETRY_MILLISECONDS = 2_000;
/** How often a daemon checks whether it is a reader, milliseconds. */
const ROLE_CHECK_MILLISECONDS = 250;

/**
 * This daemon's copies of the store's tables. A few daemons of each
 * availability zone read the tables from the store and relay changes. The
 * others follow one of these readers, and read the store themselves while no
 * reader is fresh.
 */
export class SharedTables {
  readonly #options: SharedTablesOptions;
  readonly #mirrors = new Map<string, TableMirror>();
  readonly #relayed = new Map<string, TableMirror>();
  readonly #feeds: TableFeed[] = [];
  readonly #catchUps: TableCatchUp[] = [];
  readonly #subscriptions: TableSubscription[] = [];
  readonly #freshness = new TableFreshness();
  readonly #relay: TableRelay;
  readonly #report: RestoreReport;
  /** The source was lost and no other was found since. */
  #isSourceLost = false;
  /** Whether this daemon was a reader at the last check. */
  #wasReader = true;

  constructor(options: SharedTablesOptions) {
    this.#options = options;
    this.#relay = new TableRelay({
      ...options,
      mirrors: this.#relayed,
      freshness: this.#freshness,
    });
    this.#report = new RestoreReport({
      ...options,
      tables: options.reportedTables,
    });
    options.era.registerListener(() => this.#onRestored());
  }

  /** Adds a table, which is followed once `register` is called. */
  add(subscription: TableSubscription): void {
    const { table, isRelayed, isSameRow } = subscription;
    const mirror = new TableMirror(table, {
      isSameRow,
      applyTable: (page) => {
        subscription.applyTable(page);
        this.#report.tableRead(table, page.rows.length);
      },
      applyChanges: (page) => subscription.applyChanges(page),
      changed: () => {
        if (isRelayed) this.#relay.changed();
      },
    });
    this.#mirrors.set(table, mirror);
    if (isRelayed) this.#relayed.set(table, mirror);
    this.#subscriptions.push(subscription);
    const feed = this.#createFeed(subscription, mirror);
    this.#feeds.push(feed);
    if (subscription.isReadPromptly !== true) return;
    this.#catchUps.push(
      new TableCatchUp({
        ...this.#options,
        mirror,
        isNeeded: () => this.#isRead(subscription),
        abandonFeedCall: () => feed.abandonChanges(),
      }),
    );
  }

  /** Starts following the tables; returns the teardown. */
  register(): () => void {
    const { relayTimes } = this.#options;
    const teardowns = [
      ...this.#feeds.map((feed) => feed.register()),
      ...this.#catchUps.map((catchUp) => () => catchUp.stop()),
    ];
    if (relayTimes !== undefined) {
      const follower = new TableFollower({
        ...this.#options,
        times: relayTimes,
        mirrors: this.#relayed,
        isNeeded: () =>
          (!this.#isReader || !this.#freshness.isFresh) && !this.isReadingFirst,
        onConfirmed: (answer) => this.#onConfirmed(answer),
        onLost: () => this.#onSourceLost(relayTimes.fallbackJitterMilliseconds),
      });
      teardowns.push(
        follower.register(),
        this.#options.timer.registerInterval(
          () => this.#checkRole(),
          ROLE_CHECK_MILLISECONDS,
        ),
      );
    }
    return () => teardowns.forEach((teardown) => teardown());
  }

  /** Records that the own row is correct after a restore. */
  ownRowVerified(how: "found" | "written"): void {
    this.#report.ownRowVerified(how);
  }

  /**
   * True while a relayed table is read for the first time. The same table from
   * another daemon would compete for this daemon's link.
   */
  get isReadingFirst(): boolean {
    return this.#feeds.some((feed) => feed.isReadingFirst);
  }

  /** Answers a daemon that follows this one. */
  answer(request: FollowRequest, gone: AbortSignal): Promise<FollowAnswer> {
    return this.#relay.answer(request, gone);
  }

  /** Whether this daemon reads the tables from the store. */
  get #isReader(): boolean {
    return this.#options.plan().isReader;
  }

  #createFeed(
    subscription: TableSubscription,
    mirror: TableMirror,
  ): TableFeed {
    const { isFreshnessProbe, isUrgent } = subscription;
    return new TableFeed({
      ...this.#options,
      mirror,
      isUrgent,
      times: () => this.#timesOf(subscription),
      isNeeded: () => this.#isRead(subscription),
      onAnswer: (startedAt) => {
        subscription.answered?.();
        if (!isFreshnessProbe) return;
        this.#freshness.confirm(this.#options.timer.now());
        // An answer may have waited while this process was paused.
        this.#options.onConfirmed(startedAt);
      },
      onFailure: (startedAt) => {
        subscription.failed?.(startedAt);
        if (isFreshnessProbe) this.#freshness.markStale();
      },
      onOtherChange: isFreshnessProbe
        ? (version) => {
          for (const catchUp of this.#catchUps) catchUp.requireVersion(version);
        }
        : undefined,
    });
  }

  /** Whether this daemon currently reads the table from the store. */
  #isRead({ isRelayed }: TableSubscription): boolean {
    return this.#isReader || (isRelayed && this.#isSourceLost);
  }

  #timesOf({ isFreshnessProbe, times }: TableSubscription): FeedTimes {
    const { relayTimes, plan } = this.#options;
    const { isShared, isReader } = plan();
    if (relayTimes === undefined || !isShared) return times;
    if (!isReader) {
      return {
        ...times,
        waitMilliseconds: 0,
        pollIntervalMilliseconds: FALLBACK_POLL_MILLISECONDS,
        minimumRetryDelayMilliseconds: FALLBACK_RETRY_MILLISECONDS,
        maximumRetryDelayMilliseconds: FALLBACK_RETRY_MILLISECONDS,
      };
    }
    return isFreshnessProbe ? { ...times, ...relayTimes } : times;
  }

  /** Records that another daemon confirmed the tables. */
  #onConfirmed(answer: FollowAnswer): void {
    const { timer } = this.#options;
    const now = timer.now();
    const { lapseMilliseconds, ageMilliseconds } = answer;
    const graceEndsAt = lapseMilliseconds > 0
      ? now + lapseMilliseconds
      : undefined;
    for (const item of this.#subscriptions) item.confirmed?.(graceEndsAt);
    this.#isSourceLost = false;
    this.#freshness.confirm(now - ageMilliseconds);
    this.#options.onConfirmed(now - ageMilliseconds);
  }

  /** Reads the store itself soon, unless a source is found first. */
  #onSourceLost(withinMilliseconds: number): void {
    if (this.#isSourceLost) return;
    this.#isSourceLost = true;
    if (!this.#isReader) this.#freshness.markStale();
    const { timer, random } = this.#options;
    timer.registerTimeout(() => {
      if (!this.#isSourceLost) return;
      this.#wakeFeeds();
    }, random.next() * withinMilliseconds);
  }

  #onRestored(): void {
    for (const mirror of this.#mirrors.values()) mirror.invalidate();
    for (const item of this.#subscriptions) item.restored?.();
    this.#wakeFeeds();
    this.#relay.changed();
  }

  /** Makes a daemon that became a reader read missing tables at once. */
  #checkRole(): void {
    const isReader = this.#isReader;
    if (isReader === this.#wasReader) return;
    this.#wasReader = isReader;
    this.#options.log.info("reader role changed", { isReader });
    this.#wakeFeeds();
  }

  #wakeFeeds(): void {
    for (const feed of this.#feeds) feed.wake();
  }
}
