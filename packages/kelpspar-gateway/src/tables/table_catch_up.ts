import type { RandomSource, TimerService } from "kelpspar-shared";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { StoreEra } from "./store_era.ts";
import type { TableMirror } from "./table_mirror.ts";
import type { CallTimes, TableStore } from "./table_store.ts";
import { StoreCallError, StoreTimeoutError } from "./table_store.ts";

/** Options of `TableCatchUp`. */
export interface TableCatchUpOptions {
  readonly mirror: TableMirror;
  readonly store: TableStore;
  readonly era: StoreEra;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: GatewayLog;
  /** Whether this daemon reads the table from the store. */
  readonly isNeeded: () => boolean;
  /** Makes the feed call the store again if it waits for an answer. */
  readonly abandonFeedCall: () => void;
}

/** Short, because the call is answered at once unless it is on a silent connection. */
const FIRST_CALL_TIMEOUT_MILLISECONDS = 150;
/** First delay after a failed call, milliseconds, plus up to half of it. */
const RETRY_DELAY_MILLISECONDS = 150;
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 800;

/**
 * Reads a table up to a version that is known from elsewhere, beside the feed's
 * call that waits for a change: that call may have been sent on a connection
 * that has gone silent, which its own timeout shows only after its whole wait.
 */
export class TableCatchUp {
  readonly #options: TableCatchUpOptions;
  /** The table is read until its copy has this version. */
  #requiredVersion = 0;
  /** Era of the copy in which that version was seen. */
  #generation = 0;
  #isReading = false;
  #isStopped = false;

  constructor(options: TableCatchUpOptions) {
    this.#options = options;
  }

  /** Stops the retries. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Reads the table unless its copy already has `version`. */
  requireVersion(version: number): void {
    this.#requiredVersion = version;
    this.#generation = this.#options.mirror.generation;
    if (!this.#isReading) void this.#catchUp();
  }

  async #catchUp(): Promise<void> {
    this.#isReading = true;
    let delay = RETRY_DELAY_MILLISECONDS;
    let times: CallTimes = {
      callTimeoutMilliseconds: FIRST_CALL_TIMEOUT_MILLISECONDS,
    };
    while (this.#isBehind) {
      const startedAt = this.#options.timer.now();
      try {
        await this.#read(startedAt, times);
      } catch (error) {
        const { era, random } = this.#options;
        if (error instanceof StoreCallError) {
          era.checkAnswer(error.era, startedAt);
        }
        const isRetriedAtOnce = times.callTimeoutMilliseconds !== undefined &&
          error instanceof StoreTimeoutError;
        times = {};
        if (isRetriedAtOnce) continue;
        await this.#sleep(delay * (1 + random.next() / 2));
        delay = Math.min(2 * delay, MAXIMUM_RETRY_DELAY_MILLISECONDS);
      }
    }
    this.#isReading = false;
  }

  /** False before the first read, which the feed retries until it succeeds. */
  get #isBehind(): boolean {
    const { mirror, isNeeded } = this.#options;
    return !this.#isStopped && isNeeded() &&
      mirror.generation === this.#generation && mirror.version !== undefined &&
      mirror.version < this.#requiredVersion;
  }

  async #read(startedAt: number, times: CallTimes): Promise<void> {
    const { mirror, store, era, log, abandonFeedCall } = this.#options;
    const { version, generation, table } = mirror;
    if (version === undefined) return;
    const answer = await store.readFeed(table, version, times);
    const isGone = answer.type === "history_gone";
    const validity = era.checkAnswer(
      isGone ? answer.era : answer.page.era,
      startedAt,
    );
    // The feed was answered in the meantime, or the store was restored.
    if (mirror.generation !== generation || mirror.version !== version) return;
    if (validity !== "valid" || isGone) {
      this.#requiredVersion = version;
      abandonFeedCall();
      return;
    }
    if (answer.page.rows.length > 0) {
      log.info("changes read beside a waiting call", { table, version });
      // Its answer must not be applied after a newer one.
      abandonFeedCall();
    }
    this.#requiredVersion = Math.min(
      this.#requiredVersion,
      answer.page.version,
    );
    mirror.applyChanges(answer.page);
  }

  #sleep(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      this.#options.timer.registerTimeout(resolve, milliseconds);
    });
  }
}
