import type { ServingMode } from "kelpspar-decisions/revisions";
import type { KelpsparError, TimerService } from "kelpspar-shared";
import type { DaemonState } from "../state/daemon_state.ts";
import type { StateStore } from "../state/state_store.ts";
import type { ConfigurationRow } from "./configuration_row.ts";
import { parseConfiguration } from "kelpspar-configuration";
import { RevisionTracker } from "kelpspar-decisions/revisions";
import { KelpsparError as ResultError } from "kelpspar-shared";

const HOLD_CHECK_MILLISECONDS = 5;

/** What a daemon's configuration is kept with. */
export interface ConfigurationKeeperOptions {
  readonly state: StateStore<DaemonState>;
  readonly timer: TimerService;
  readonly onInForce: (revision: number) => void;
  /** Told of a newer revision that this daemon's program does not understand. */
  readonly onNotUnderstood: (revision: number) => void;
}

/**
 * Keeps the configuration in force: it only moves to higher revisions, whoever
 * brings them, and the daemon takes no new requests by one that it has proof
 * is out of date.
 *
 * Source: the brief, "What must always hold": an accepted configuration never
 * reverts.
 */
export class ConfigurationKeeper {
  readonly #options: ConfigurationKeeperOptions;
  readonly #tracker = new RevisionTracker<ConfigurationRow>();

  constructor(options: ConfigurationKeeperOptions) {
    this.#options = options;
  }

  /** The revision in force here; 0 before the first. */
  get revision(): number {
    return this.#tracker.current?.revision ?? 0;
  }

  /** Takes a revision with its content. */
  offer(row: ConfigurationRow, source: "table" | "peer"): void {
    const { state, timer, onInForce, onNotUnderstood } = this.#options;
    if (row.revision <= this.revision) return;
    const parsed = parseConfiguration(row.configuration);
    if (!parsed.ok) {
      onNotUnderstood(row.revision);
      this.noteProof(row.revision, source);
      return;
    }
    const { revision, changeId } = row;
    const offer = { revision, changeId, source, content: row };
    const decision = this.#tracker.offer(offer, timer.now());
    if (decision.type !== "accepted") return;
    state.update(() => ({
      configurationRow: row,
      configuration: parsed.configuration,
    }));
    onInForce(revision);
  }

  /** Takes proof that a revision was accepted, without its content. */
  noteProof(revision: number, prover: string): void {
    this.#tracker.recordAnnouncement(
      { revision, announcer: prover },
      this.#options.timer.now(),
    );
  }

  /** What to do with new requests now. */
  get stance(): ServingMode {
    return this.#tracker.servingMode(this.#options.timer.now());
  }

  /** Waits, for a moment at most, while a newer revision is being fetched. */
  async whenSettled(): Promise<void> {
    while (this.stance === "hold") {
      await new Promise<void>((resolve) => {
        this.#options.timer.registerTimeout(resolve, HOLD_CHECK_MILLISECONDS);
      });
    }
  }

  /** Why new requests are refused; undefined while they are not. */
  refusal(): KelpsparError | undefined {
    if (this.stance !== "refuse") return undefined;
    const isNone = this.#tracker.current === undefined;
    return new ResultError(
      "no_configuration",
      isNone
        ? "The daemon has no configuration yet"
        : `Revision ${this.#tracker.highestKnown} is in force and not here yet`,
    );
  }
}
