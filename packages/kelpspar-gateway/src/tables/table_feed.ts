import type { RandomSource, TimerService } from "kelpspar-shared";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { StoreEra } from "./store_era.ts";
import type { TableMirror } from "./table_mirror.ts";
import type { CallTimes, ReportedEra, TableStore } from "./table_store.ts";
import { StoreCallError } from "./table_store.ts";
import { InterruptedError, untilAborted } from "./until_aborted.ts";

/** Timing of the calls of a feed. */
export interface FeedTimes {
  /** How long a call waits for a change, milliseconds. */
  readonly waitMilliseconds: number;
  /** Timeout beyond that wait, ms; the store client's default if absent. */
  readonly callTimeoutMilliseconds?: number;
  /** Least time between the starts of two calls, milliseconds. */
  readonly pollIntervalMilliseconds: number;
  /** Range of the delay after a failed call, milliseconds. */
  readonly minimumRetryDelayMilliseconds?: number;
  readonly maximumRetryDelayMilliseconds: number;
}

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
}

/**
 * Delay after a failed call, milliseconds. Doubles up to the maximum, plus
 * jitter of up to half of it. Rejected calls cost the store as much as others.
 */
const INITIAL_RETRY_DELAY_MILLISECONDS = 150;
/** Upper end of the first retry delay with its jitter. */
export const MAXIMUM_FIRST_RETRY_DELAY_MILLISECONDS =
  INITIAL_RETRY_DELAY_MILLISECONDS * 1.5;
/** Well below the two seconds in which entries return, milliseconds. */
export const MAXIMUM_RETRY_DELAY_MILLISECONDS = 800;
/** Poll interval while the next change is needed soon, milliseconds. */
const URGENT_POLL_MILLISECONDS = 250;
/**
 * Timeout of calls after a failure, milliseconds; they don't wait for a change.
 * A call sent during a network silence stays unanswered after the silence ends.
 * With the usual timeout the list would be read seconds after the store's
 * recovery, and endpoints that left meanwhile would get requests.
 */
const PROBE_TIMEOUT_MILLISECONDS = 600;
/**
 * Timeout of the first read of a table, milliseconds since the last part of its
 * answer. Other daemons are asked for the table after that.
 */
const FIRST_READ_TIMEOUT_MILLISECONDS = 600;
/** After this, calls use the usual timeout: the store may be slow, ms. */
const PROBE_PHASE_MILLISECONDS = 8_000;

/** Follows one table in the store: reads it whole, then its changes. */
export class TableFeed {
  readonly #options: TableFeedOptions;
  /** When the first of the current series of failed calls failed. */
  #failingSince: number | undefined;
  #retryDelay = INITIAL_RETRY_DELAY_MILLISECONDS;
  #isStopped = false;
  #isReadingFirst = false;
  /** Aborts the current wait or call. */
  #abort = new AbortController();

  constructor(options: TableFeedOptions) {
    this.#options = options;
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
    return this.#isReadingFirst && this.#failingSince === undefined;
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
    const { timer } = this.#options;
    try {
      await this.#read(startedAt, signal);
      this.#onRecovered();
      return this.#pollInterval() - (timer.now() - startedAt);
    } catch (error) {
      if (error instanceof InterruptedError || signal.aborted) return 0;
      this.#onFailed(error, startedAt);
      return this.#nextRetryDelay();
    }
  }

  #pollInterval(): number {
    const { times, isUrgent } = this.#options;
    const { pollIntervalMilliseconds } = times();
    return isUrgent?.() === true
      ? Math.min(pollIntervalMilliseconds, URGENT_POLL_MILLISECONDS)
      : pollIntervalMilliseconds;
  }

  /** With jitter, so that daemons don't all retry a weak store at once. */
  #nextRetryDelay(): number {
    const { random, times } = this.#options;
    const { minimumRetryDelayMilliseconds = 0, maximumRetryDelayMilliseconds } =
      times();
    const pause = Math.max(this.#retryDelay, minimumRetryDelayMilliseconds);
    this.#retryDelay = Math.min(pause * 2, maximumRetryDelayMilliseconds);
    return pause * (1 + random.next() / 2);
  }

  async #read(startedAt: number, signal: AbortSignal): Promise<void> {
    const { mirror, store } = this.#options;
    const { version, generation } = mirror;
    if (version === undefined) return await this.#readFirst(startedAt, signal);
    const { waitMilliseconds } = this.#options.times();
    const answer = await untilAborted(
      store.readFeed(mirror.table, version, {
        ...this.#callTimes(waitMilliseconds),
        signal,
      }),
      signal,
    );
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
  }

  async #readFirst(startedAt: number, signal: AbortSignal): Promise<void> {
    this.#isReadingFirst = true;
    try {
      await this.#readTable(startedAt, signal);
    } finally {
      this.#isReadingFirst = false;
    }
  }

  async #readTable(startedAt: number, signal: AbortSignal): Promise<void> {
    const { mirror, store, onAnswer } = this.#options;
    const page = await untilAborted(
      store.readTable(mirror.table, { ...this.#callTimes(0), signal }),
      signal,
    );
    this.#checkEra(page.era, startedAt);
    onAnswer(startedAt);
    mirror.applyTable(page);
  }

  /** Throws when an answer is from before a restore of the store. */
  #checkEra(era: ReportedEra, startedAt: number): void {
    if (this.#options.era.checkAnswer(era, startedAt) === "valid") return;
    throw new Error("The store answered from an earlier era");
  }

  #callTimes(waitMilliseconds: number): CallTimes {
    const failingSince = this.#failingSince;
    const { callTimeoutMilliseconds } = this.#options.times();
    if (failingSince === undefined && this.#isReadingFirst) {
      return { callTimeoutMilliseconds: FIRST_READ_TIMEOUT_MILLISECONDS };
    }
    if (failingSince === undefined) {
      return {
        waitMilliseconds,
        ...(callTimeoutMilliseconds === undefined
          ? {}
          : { callTimeoutMilliseconds }),
      };
    }
    const isLong =
      this.#options.timer.now() - failingSince > PROBE_PHASE_MILLISECONDS;
    return isLong
      ? {}
      : { callTimeoutMilliseconds: PROBE_TIMEOUT_MILLISECONDS };
  }

  #onRecovered(): void {
    if (this.#failingSince === undefined) return;
    const { mirror, timer, log } = this.#options;
    log.info("store regained", {
      table: mirror.table,
      failedForMilliseconds: Math.round(timer.now() - this.#failingSince),
    });
    this.#failingSince = undefined;
    this.#retryDelay = INITIAL_RETRY_DELAY_MILLISECONDS;
  }

  #onFailed(error: unknown, startedAt: number): void {
    const { mirror, timer, log, era, onFailure } = this.#options;
    if (error instanceof StoreCallError) era.checkAnswer(error.era, startedAt);
    onFailure(startedAt);
    if (this.#failingSince !== undefined) return;
    this.#failingSince = timer.now();
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
