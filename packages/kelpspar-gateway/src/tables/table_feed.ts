import type { RandomSource, TimerService } from "kelpspar-shared";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { FeedTimes } from "./feed_times.ts";
import type { StoreEra } from "./store_era.ts";
import type { TableMirror } from "./table_mirror.ts";
import type {
  CallTimes,
  FeedAnswer,
  ReportedEra,
  TableStore,
} from "./table_store.ts";
import { FeedPace } from "./feed_pace.ts";
import { findOtherChange } from "./find_other_change.ts";
import { StoreCallError } from "./table_store.ts";
import { InterruptedError, untilAborted } from "./until_aborted.ts";

/** Options of `TableFeed`. */
export interface TableFeedOptions {
  readonly mirror: TableMirror;
  readonly store: TableStore;
  readonly era: StoreEra;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: GatewayLog;
  /** Timing of the next call. */
  readonly times: () => FeedTimes;
  /** Whether this daemon currently reads the table itself; see `wake`. */
  readonly isNeeded: () => boolean;
  /** True while the next change is needed soon. */
  readonly isUrgent?: (() => boolean) | undefined;
  /** Called on an answer, before its rows are applied. */
  readonly onAnswer: (startedAt: number) => void;
  /** Called when a call that began at `startedAt` failed. */
  readonly onFailure: (startedAt: number) => void;
  /** Called when another table changed at `version`; see `findOtherChange`. */
  readonly onOtherChange?: ((version: number) => void) | undefined;
}

/** Follows one table in the store: reads it whole, then its changes. */
export class TableFeed {
  readonly #options: TableFeedOptions;
  readonly #pace: FeedPace;
  #isStopped = false;
  #isReadingFirst = false;
  #isReadingChanges = false;
  /** Aborts the current wait or call. */
  #abort = new AbortController();

  constructor(options: TableFeedOptions) {
    this.#options = options;
    this.#pace = new FeedPace(options);
  }

  /** Starts following the table; returns the teardown. */
  register(): () => void {
    void this.#follow();
    return () => {
      this.#isStopped = true;
      this.#abort.abort();
    };
  }

  /**
   * True while the table is read for the first time; false once that failed, so
   * that other daemons are asked for it.
   */
  get isReadingFirst(): boolean {
    return this.#isReadingFirst && this.#pace.failingSince === undefined;
  }

  /**
   * Makes it check `isNeeded` at once and read missing rows. A first read is
   * completed: when all daemons start together, most stop being readers within
   * half a second. On a link of 7 Mbit/s a configuration of 600 KB takes longer,
   * and aborted reads left 39 of 61 daemons without one for seconds.
   */
  wake(): void {
    if (!this.#isReadingFirst) this.#abort.abort();
  }

  /**
   * Abandons a call for changes, whose answer would be older than the copy, and
   * makes the next one at once. Has no effect on other calls and on pauses.
   */
  abandonChanges(): void {
    if (this.#isReadingChanges) this.#abort.abort();
  }

  async #follow(): Promise<void> {
    const { timer, isNeeded } = this.#options;
    while (!this.#isStopped) {
      this.#abort = new AbortController();
      const { signal } = this.#abort;
      if (!isNeeded()) {
        await this.#sleep(undefined, signal);
        continue;
      }
      const startedAt = timer.now();
      const pause = await this.#poll(startedAt, signal);
      if (pause > 0) await this.#sleep(pause, signal);
    }
  }

  /** Makes one call; returns the delay before the next, milliseconds. */
  async #poll(startedAt: number, signal: AbortSignal): Promise<number> {
    const allowedMilliseconds = this.#pace.waitOf(startedAt);
    try {
      const hasRows = await this.#read(startedAt, signal);
      this.#onAnswered();
      return this.#pace.pauseAfter({ startedAt, allowedMilliseconds, hasRows });
    } catch (error) {
      if (error instanceof InterruptedError || signal.aborted) return 0;
      this.#onFailed(error, startedAt);
      return this.#pace.recordFailure(error);
    }
  }

  /** Makes one call; returns whether its answer has rows. */
  async #read(startedAt: number, signal: AbortSignal): Promise<boolean> {
    const { mirror } = this.#options;
    const { version, generation } = mirror;
    if (version === undefined) return await this.#readFirst(startedAt, signal);
    const answer = await this.#readChanges(version, startedAt, signal);
    const isGone = answer.type === "history_gone";
    this.#checkEra(isGone ? answer.era : answer.page.era, startedAt);
    if (isGone) {
      const { table } = mirror;
      this.#options.log.warn("store history gone", { table, version });
    }
    // Changes after a position of the previous era are incomplete.
    if (isGone || mirror.generation !== generation) {
      return await this.#readTable(startedAt, signal);
    }
    this.#options.onAnswer(startedAt);
    mirror.applyChanges(answer.page);
    const otherVersion = findOtherChange(answer.page, version);
    if (otherVersion !== undefined) this.#options.onOtherChange?.(otherVersion);
    return answer.page.rows.length > 0;
  }

  async #readChanges(
    version: number,
    startedAt: number,
    signal: AbortSignal,
  ): Promise<FeedAnswer> {
    const { mirror, store } = this.#options;
    this.#isReadingChanges = true;
    try {
      const call = store.readFeed(mirror.table, version, {
        ...this.#callTimes(this.#pace.waitOf(startedAt)),
        signal,
      });
      return await untilAborted(call, signal);
    } finally {
      this.#isReadingChanges = false;
    }
  }

  async #readFirst(
    startedAt: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    this.#isReadingFirst = true;
    try {
      return await this.#readTable(startedAt, signal);
    } finally {
      this.#isReadingFirst = false;
    }
  }

  async #readTable(
    startedAt: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { mirror, store, onAnswer } = this.#options;
    const page = await untilAborted(
      store.readTable(mirror.table, { ...this.#callTimes(0), signal }),
      signal,
    );
    this.#checkEra(page.era, startedAt);
    onAnswer(startedAt);
    mirror.applyTable(page);
    return page.rows.length > 0;
  }

  /** Throws when an answer is from before a restore of the store. */
  #checkEra(era: ReportedEra, startedAt: number): void {
    if (this.#options.era.checkAnswer(era, startedAt) === "valid") return;
    throw new Error("The store answered from an earlier era");
  }

  #callTimes(waitMilliseconds: number): CallTimes {
    const isFirstRead = this.#isReadingFirst;
    return this.#pace.callTimes(waitMilliseconds, { isFirstRead });
  }

  #onAnswered(): void {
    const { failingSince } = this.#pace;
    this.#pace.recordAnswer();
    if (failingSince === undefined) return;
    const { mirror, timer, log } = this.#options;
    log.info("store regained", {
      table: mirror.table,
      failedForMilliseconds: Math.round(timer.now() - failingSince),
    });
  }

  #onFailed(error: unknown, startedAt: number): void {
    const { mirror, log, era, onFailure } = this.#options;
    if (error instanceof StoreCallError) era.checkAnswer(error.era, startedAt);
    onFailure(startedAt);
    if (this.#pace.failingSince !== undefined) return;
    log.warn("store lost", {
      table: mirror.table,
      reason: error instanceof Error ? error.message : String(error),
    });
  }

  /** Waits for the given time, or until `signal` aborts. */
  #sleep(milliseconds: number | undefined, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const stop = milliseconds === undefined
        ? undefined
        : this.#options.timer.registerTimeout(end, milliseconds);
      function end(): void {
        stop?.();
        signal.removeEventListener("abort", end);
        resolve();
      }
      if (signal.aborted) end();
      else signal.addEventListener("abort", end, { once: true });
    });
  }
}
