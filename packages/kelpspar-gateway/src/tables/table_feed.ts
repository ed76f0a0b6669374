import type { RandomSource, TimerService } from "kelpspar-shared";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { StoreEra } from "./store_era.ts";
import type { TableMirror } from "./table_mirror.ts";
import type { CallTimes, EraWord, TableStore } from "./table_store.ts";
import { StoreCallError } from "./table_store.ts";
import { InterruptedError, untilAborted } from "./until_aborted.ts";

/** When calls of a feed begin and end. */
export interface FeedTimes {
  /** How long a call waits for a change, milliseconds. */
  readonly waitMilliseconds: number;
  /** How long a call may take beside that, ms; the store's own if absent. */
  readonly limitMilliseconds?: number;
  /** Least time between the starts of two calls, milliseconds. */
  readonly paceMilliseconds: number;
  /** Least and longest wait after a failed call, milliseconds. */
  readonly leastPauseMilliseconds?: number;
  readonly longestPauseMilliseconds: number;
}

/** How a table of the store is followed. */
export interface TableFeedOptions {
  readonly mirror: TableMirror;
  readonly store: TableStore;
  readonly era: StoreEra;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: GatewayLog;
  /** The times for the next call. */
  readonly times: () => FeedTimes;
  /** Whether this daemon reads the table itself now; see `wake`. */
  readonly isNeeded: () => boolean;
  /** True while what comes next is needed soon. */
  readonly isUrgent?: (() => boolean) | undefined;
  /** Told of an answer, before what it holds is taken. */
  readonly onAnswer: () => void;
  /** Told when a call that began at `startedAt` failed. */
  readonly onFailure: (startedAt: number) => void;
}

/**
 * Wait after a failed call, milliseconds; doubles up to the longest, and is
 * drawn up to half as long again. Refused calls are priced like others.
 */
const FAILED_PAUSE_MILLISECONDS = 150;
/** The longest that the first of them is drawn to. */
export const FIRST_PAUSE_MILLISECONDS = FAILED_PAUSE_MILLISECONDS * 1.5;
/** Well within the two seconds in which entries are back, milliseconds. */
export const LONGEST_PAUSE_MILLISECONDS = 800;
/** Pace while what comes next is needed soon, milliseconds. */
const URGENT_PACE_MILLISECONDS = 250;
/**
 * While calls fail they ask for what is there at once and may take this long,
 * milliseconds. One that was sent into a silence is not answered when that
 * ends: with its usual time the list is read seconds after the return of the
 * store, and endpoints that left meanwhile get requests.
 */
const PROBE_MILLISECONDS = 600;
/** After this, calls get their usual time: the store may be that slow, ms. */
const PROBING_MILLISECONDS = 8_000;

/** Follows one table at the store: reads it whole, then what changes. */
export class TableFeed {
  readonly #options: TableFeedOptions;
  /** When the call failed after which no other was answered. */
  #failingSince: number | undefined;
  #failedPause = FAILED_PAUSE_MILLISECONDS;
  #isStopped = false;
  /** Ends the wait or the call that is under way. */
  #abort = new AbortController();

  constructor(options: TableFeedOptions) {
    this.#options = options;
  }

  /** Begins to follow; returns the teardown. */
  register(): () => void {
    void this.#follow();
    return () => {
      this.#isStopped = true;
      this.wake();
    };
  }

  /** Makes it look at once whether it is needed, and read what it lacks. */
  wake(): void {
    this.#abort.abort();
  }

  async #follow(): Promise<void> {
    const { timer, isNeeded } = this.#options;
    while (!this.#isStopped) {
      this.#abort = new AbortController();
      const { signal } = this.#abort;
      if (!isNeeded()) {
        await this.#rest(undefined, signal);
        continue;
      }
      const startedAt = timer.now();
      const pause = await this.#step(startedAt, signal);
      if (pause > 0) await this.#rest(pause, signal);
    }
  }

  /** One call; gives how long to wait before the next, milliseconds. */
  async #step(startedAt: number, signal: AbortSignal): Promise<number> {
    const { timer } = this.#options;
    try {
      await this.#read(startedAt, signal);
      this.#recovered();
      return this.#pace() - (timer.now() - startedAt);
    } catch (error) {
      if (error instanceof InterruptedError || signal.aborted) return 0;
      this.#failed(error, startedAt);
      return this.#pauseAfterFailure();
    }
  }

  #pace(): number {
    const { times, isUrgent } = this.#options;
    const { paceMilliseconds } = times();
    return isUrgent?.() === true
      ? Math.min(paceMilliseconds, URGENT_PACE_MILLISECONDS)
      : paceMilliseconds;
  }

  /** Drawn, so that daemons don't all return to a weak store at once. */
  #pauseAfterFailure(): number {
    const { random, times } = this.#options;
    const { leastPauseMilliseconds = 0, longestPauseMilliseconds } = times();
    const pause = Math.max(this.#failedPause, leastPauseMilliseconds);
    this.#failedPause = Math.min(pause * 2, longestPauseMilliseconds);
    return pause * (1 + random.next() / 2);
  }

  async #read(startedAt: number, signal: AbortSignal): Promise<void> {
    const { mirror, store } = this.#options;
    const { version, generation } = mirror;
    if (version === undefined) return await this.#readTable(startedAt, signal);
    const { waitMilliseconds } = this.#options.times();
    const answer = await untilAborted(
      store.readFeed(mirror.table, version, {
        ...this.#callTimes(waitMilliseconds),
        signal,
      }),
      signal,
    );
    const isGone = answer.type === "history_gone";
    this.#accept(isGone ? answer.era : answer.page.era, startedAt);
    if (isGone) {
      const { table } = mirror;
      this.#options.log.warn("store history gone", { table, version });
    }
    // Changes after a position of the era before are not all that changed.
    if (isGone || mirror.generation !== generation) {
      return await this.#readTable(startedAt, signal);
    }
    this.#options.onAnswer();
    mirror.takeChanges(answer.page);
  }

  async #readTable(startedAt: number, signal: AbortSignal): Promise<void> {
    const { mirror, store, onAnswer } = this.#options;
    const page = await untilAborted(
      store.readTable(mirror.table, { ...this.#callTimes(0), signal }),
      signal,
    );
    this.#accept(page.era, startedAt);
    onAnswer();
    mirror.takeTable(page);
  }

  /** Throws when an answer is from before the store's return from a copy. */
  #accept(era: EraWord, startedAt: number): void {
    if (this.#options.era.answered(era, startedAt) === "valid") return;
    throw new Error("The store answered from an earlier era");
  }

  #callTimes(waitMilliseconds: number): CallTimes {
    const since = this.#failingSince;
    const { limitMilliseconds } = this.#options.times();
    if (since === undefined) {
      return {
        waitMilliseconds,
        ...(limitMilliseconds === undefined ? {} : { limitMilliseconds }),
      };
    }
    const isLong = this.#options.timer.now() - since > PROBING_MILLISECONDS;
    return isLong ? {} : { limitMilliseconds: PROBE_MILLISECONDS };
  }

  #recovered(): void {
    if (this.#failingSince === undefined) return;
    const { mirror, timer, log } = this.#options;
    log.info("store regained", {
      table: mirror.table,
      failedForMilliseconds: Math.round(timer.now() - this.#failingSince),
    });
    this.#failingSince = undefined;
    this.#failedPause = FAILED_PAUSE_MILLISECONDS;
  }

  #failed(error: unknown, startedAt: number): void {
    const { mirror, timer, log, era, onFailure } = this.#options;
    if (error instanceof StoreCallError) era.answered(error.era, startedAt);
    onFailure(startedAt);
    if (this.#failingSince !== undefined) return;
    this.#failingSince = timer.now();
    log.warn("store lost", {
      table: mirror.table,
      reason: error instanceof Error ? error.message : String(error),
    });
  }

  /** Waits so long, or until it is woken. */
  #rest(milliseconds: number | undefined, signal: AbortSignal): Promise<void> {
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
