import type { TimerService } from "kelpspar-shared";
import type { DaemonAddress } from "../fleet/fleet_digest.ts";
import type { AnomalyLog } from "../log/anomaly_log.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { ReadingPlan } from "./reading_plan.ts";
import type { RelayTimes } from "./relay_times.ts";
import type { StoreEra } from "./store_era.ts";
import type { FollowAnswer, FollowRequest } from "./table_changes.ts";
import type { TableMirror } from "./table_mirror.ts";

/** Asks another daemon for what it knows of the store's tables. */
export interface FollowClient {
  follow(
    peer: string,
    request: FollowRequest,
    limitMilliseconds: number,
  ): Promise<FollowAnswer>;
}

/** What a follower works with. */
export interface TableFollowerOptions {
  readonly mirrors: ReadonlyMap<string, TableMirror>;
  readonly era: StoreEra;
  readonly times: RelayTimes;
  readonly client: FollowClient;
  readonly timer: TimerService;
  readonly log: GatewayLog;
  readonly anomalies: Pick<AnomalyLog, "note">;
  readonly plan: () => ReadingPlan;
  /** Whether this daemon needs what others know. */
  readonly isNeeded: () => boolean;
  /** Told of an answer that confirms the tables. */
  readonly onConfirmed: (answer: FollowAnswer) => void;
  /** Told that a source doesn't answer, or isn't fresh. */
  readonly onLost: () => void;
}

/** How often it looks whether it is needed, milliseconds. */
const LOOK_MILLISECONDS = 500;
/** Least time between two calls, milliseconds; changes come in clumps. */
const PACE_MILLISECONDS = 40;
/** Wait once every source was tried in vain, milliseconds. */
const VAIN_PAUSE_MILLISECONDS = 300;

/**
 * Follows the tables at a daemon that reads them. One that doesn't answer in
 * time, or says that the store doesn't answer it, is left for the next.
 */
export class TableFollower {
  readonly #options: TableFollowerOptions;
  #isStopped = false;
  /** Which of the sources is asked. */
  #turn = 0;
  /** Sources tried in vain since one was fresh. */
  #vainTries = 0;
  /** The daemon that was followed last, for the log. */
  #followed: string | undefined;
  /** Tables of which changes were told that go on from something unknown. */
  readonly #wholeWanted = new Set<string>();

  constructor(options: TableFollowerOptions) {
    this.#options = options;
  }

  /** Begins to follow; returns the teardown. */
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
      const source = sources[this.#turn % Math.max(1, sources.length)];
      if (source === undefined || !isNeeded()) {
        await this.#sleep(LOOK_MILLISECONDS);
        continue;
      }
      await this.#ask(source);
      const isVain = this.#vainTries > 0 &&
        this.#vainTries % sources.length === 0;
      await this.#sleep(isVain ? VAIN_PAUSE_MILLISECONDS : PACE_MILLISECONDS);
    }
  }

  async #ask(source: DaemonAddress): Promise<void> {
    const { client, times, plan } = this.#options;
    // Once all were tried, one that isn't fresh is asked to say when it is.
    const isWaiting = this.#vainTries >= plan().sources.length;
    try {
      const answer = await client.follow(
        source.peer,
        {
          ...this.#known(),
          wasFresh: !isWaiting,
          waitMilliseconds: times.followMilliseconds,
        },
        times.followMilliseconds + times.followLimitMilliseconds,
      );
      if (this.#take(answer, source)) this.#found(source);
      else this.#lost(source, "not fresh");
    } catch (error) {
      this.#lost(source, error instanceof Error ? error.message : "failed");
    }
  }

  #known(): Pick<FollowRequest, "era" | "versions"> {
    const { mirrors, era } = this.#options;
    const versions = [...mirrors.values()].map(({ table, version }) => {
      const isWanted = this.#wholeWanted.has(table);
      return [table, isWanted ? null : version ?? null] as const;
    });
    return {
      era: era.current ?? null,
      versions: Object.fromEntries(versions),
    };
  }

  /** True when the answer confirms all tables. */
  #take(answer: FollowAnswer, source: DaemonAddress): boolean {
    const { mirrors, era, anomalies, onConfirmed } = this.#options;
    const fields = { daemon: source.daemonId };
    if (era.told(answer.era) === "earlier") {
      anomalies.note("changes_of_earlier_era", fields);
      return false;
    }
    // What the store gave before this daemon knew of the era is void.
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
        this.#wholeWanted.add(changes.table);
        isComplete = false;
      } else this.#wholeWanted.delete(changes.table);
    }
    return answer.isFresh && isComplete;
  }

  #found(source: DaemonAddress): void {
    this.#vainTries = 0;
    if (this.#followed === source.daemonId) return;
    this.#followed = source.daemonId;
    this.#options.log.info("tables followed", { daemon: source.daemonId });
  }

  #lost(source: DaemonAddress, reason: string): void {
    const { log, onLost } = this.#options;
    if (this.#followed !== undefined) {
      log.warn("tables' source lost", { daemon: source.daemonId, reason });
    }
    this.#followed = undefined;
    this.#vainTries++;
    this.#turn++;
    onLost();
  }

  #sleep(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      this.#options.timer.registerTimeout(resolve, milliseconds);
    });
  }
}
