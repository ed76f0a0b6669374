import type { TimerService } from "kelpspar-shared";
import type { DaemonAddress } from "../fleet/fleet_digest.ts";
import type { AnomalyLog } from "../log/anomaly_log.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { ReadingPlan } from "./reading_plan.ts";
import type { RelayTimes } from "./relay_times.ts";
import type { StoreEra } from "./store_era.ts";
import type { FollowAnswer, FollowRequest } from "./table_changes.ts";
import type { TableMirror } from "./table_mirror.ts";

/** Fetches changes of the store's tables from another daemon. */
export interface FollowClient {
  follow(
    peer: string,
    request: FollowRequest,
    timeoutMilliseconds: number,
  ): Promise<FollowAnswer>;
}

/** Options of `TableFollower`. */
export interface TableFollowerOptions {
  readonly mirrors: ReadonlyMap<string, TableMirror>;
  readonly era: StoreEra;
  readonly times: RelayTimes;
  readonly client: FollowClient;
  readonly timer: TimerService;
  readonly log: GatewayLog;
  readonly anomalies: Pick<AnomalyLog, "note">;
  readonly plan: () => ReadingPlan;
  /** Whether this daemon needs the tables from others. */
  readonly isNeeded: () => boolean;
  /** Called with an answer that confirms the tables. */
  readonly onConfirmed: (answer: FollowAnswer) => void;
  /** Called when a source doesn't answer or isn't fresh. */
  readonly onLost: () => void;
}

/** How often an idle follower checks `isNeeded`, milliseconds. */
const IDLE_CHECK_MILLISECONDS = 500;
/** Delay between two calls, milliseconds; changes come in bursts. */
const CALL_INTERVAL_MILLISECONDS = 40;
/** Delay once every source has failed, milliseconds. */
const ALL_SOURCES_FAILED_DELAY_MILLISECONDS = 300;

/**
 * Follows the tables at a daemon that reads them. If the source times out or
 * reports that the store doesn't answer it, the next source is tried.
 */
export class TableFollower {
  readonly #options: TableFollowerOptions;
  #isStopped = false;
  /** Index of the current source. */
  #sourceIndex = 0;
  /** Failed tries since a source was last fresh. */
  #failedTries = 0;
  /** Id of the daemon that was followed last, for the log. */
  #currentSource: string | undefined;
  /** Tables whose changes continued from a version unknown here. */
  readonly #tablesToReadWhole = new Set<string>();

  constructor(options: TableFollowerOptions) {
    this.#options = options;
  }

  /** Starts following; returns the teardown. */
  register(): () => void {
    void this.#follow();
    return () => {
      this.#isStopped = true;
    };
  }

  async #follow(): Promise<void> {
    const { isNeeded, plan } = this.#options;
    while (!this.#isStopped) {
      const { sources } = plan();
      const source = sources[this.#sourceIndex % Math.max(1, sources.length)];
      if (source === undefined || !isNeeded()) {
        await this.#sleep(IDLE_CHECK_MILLISECONDS);
        continue;
      }
      await this.#poll(source);
      const haveAllFailed = this.#failedTries > 0 &&
        this.#failedTries % sources.length === 0;
      await this.#sleep(
        haveAllFailed
          ? ALL_SOURCES_FAILED_DELAY_MILLISECONDS
          : CALL_INTERVAL_MILLISECONDS,
      );
    }
  }

  async #poll(source: DaemonAddress): Promise<void> {
    const { client, times, plan } = this.#options;
    // Once all were tried, a source that isn't fresh is asked to answer when
    // it becomes fresh.
    const isWaiting = this.#failedTries >= plan().sources.length;
    try {
      const answer = await client.follow(
        source.peer,
        {
          ...this.#knownVersions(),
          wasFresh: !isWaiting,
          omitsUnchanged: true,
          waitMilliseconds: times.followWaitMilliseconds,
        },
        times.followWaitMilliseconds + times.followTimeoutMilliseconds,
      );
      if (this.#apply(answer, source)) this.#onSourceFound(source);
      else this.#onSourceLost(source, "not fresh");
    } catch (error) {
      this.#onSourceLost(
        source,
        error instanceof Error ? error.message : "failed",
      );
    }
  }

  #knownVersions(): Pick<FollowRequest, "era" | "versions"> {
    const { mirrors, era } = this.#options;
    const versions = [...mirrors.values()].map(({ table, version }) => {
      const isWanted = this.#tablesToReadWhole.has(table);
      return [table, isWanted ? null : version ?? null] as const;
    });
    return {
      era: era.current ?? null,
      versions: Object.fromEntries(versions),
    };
  }

  /** Applies an answer; true when it confirms all tables. */
  #apply(answer: FollowAnswer, source: DaemonAddress): boolean {
    const { mirrors, era, anomalies, onConfirmed } = this.#options;
    const fields = { daemon: source.daemonId };
    if (era.told(answer.era) === "earlier") {
      anomalies.note("changes_of_earlier_era", fields);
      return false;
    }
    // Rows from before this daemon knew of the era are invalid.
    if (answer.era !== (era.current ?? null)) return false;
    if (answer.isFresh) onConfirmed(answer);
    let isComplete = true;
    for (const changes of answer.tables) {
      const outcome = mirrors.get(changes.table)?.merge(changes);
      if (outcome === "skips_versions") {
        anomalies.note("changes_skip_versions", {
          ...fields,
          table: changes.table,
        });
        this.#tablesToReadWhole.add(changes.table);
        isComplete = false;
      } else this.#tablesToReadWhole.delete(changes.table);
    }
    return answer.isFresh && isComplete;
  }

  #onSourceFound(source: DaemonAddress): void {
    this.#failedTries = 0;
    if (this.#currentSource === source.daemonId) return;
    this.#currentSource = source.daemonId;
    this.#options.log.info("following tables", {
      daemon: source.daemonId,
    });
  }

  #onSourceLost(source: DaemonAddress, reason: string): void {
    const { log, onLost } = this.#options;
    if (this.#currentSource !== undefined) {
      log.warn("table source lost", {
        daemon: source.daemonId,
        reason,
      });
    }
    this.#currentSource = undefined;
    this.#failedTries++;
    this.#sourceIndex++;
    onLost();
  }

  #sleep(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      this.#options.timer.registerTimeout(resolve, milliseconds);
    });
  }
}
