import type { ServingMode } from "kelpspar-decisions/revisions";
import type { KelpsparError, TimerService } from "kelpspar-shared";
import type { DaemonState } from "../state/daemon_state.ts";
import type { StateStore } from "../state/state_store.ts";
import type { ConfigurationRow } from "./configuration_row.ts";
import { parseConfiguration } from "kelpspar-configuration";
import { RevisionTracker } from "kelpspar-decisions/revisions";
import { KelpsparError as ResultError } from "kelpspar-shared";

const HOLD_POLL_MILLISECONDS = 5;

/** Dependencies of a `ConfigurationManager`. */
export interface ConfigurationManagerOptions {
  readonly state: StateStore<DaemonState>;
  readonly timer: TimerService;
  readonly onActivated: (revision: number) => void;
  /** Called for a newer revision that this program version cannot parse. */
  readonly onUnsupportedRevision: (revision: number) => void;
}

/**
 * Manages the active configuration. It only moves to higher revisions, whatever
 * their source, and the daemon accepts no new requests under a revision that is
 * known to be stale.
 *
 * Source: the brief, "What must always hold": an accepted configuration never
 * reverts.
 */
export class ConfigurationManager {
  readonly #options: ConfigurationManagerOptions;
  readonly #tracker = new RevisionTracker<ConfigurationRow>();

  constructor(options: ConfigurationManagerOptions) {
    this.#options = options;
  }

  /** The active revision of this daemon; 0 before the first. */
  get revision(): number {
    return this.#tracker.current?.revision ?? 0;
  }

  /** Activates a revision if it is newer than the active one. */
  offer(row: ConfigurationRow, source: "table" | "peer"): void {
    const {
      state,
      timer,
      onActivated,
      onUnsupportedRevision,
    } = this.#options;
    if (row.revision <= this.revision) return;
    const parsed = parseConfiguration(row.configuration);
    if (!parsed.ok) {
      onUnsupportedRevision(row.revision);
      this.noteAcceptedRevision(row.revision, source);
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
    onActivated(revision);
  }

  /** Notes that a revision was accepted, without its content. */
  noteAcceptedRevision(revision: number, prover: string): void {
    this.#tracker.recordAnnouncement(
      { revision, announcer: prover },
      this.#options.timer.now(),
    );
  }

  /** Whether to serve, hold or refuse new requests. */
  get stance(): ServingMode {
    return this.#tracker.servingMode(this.#options.timer.now());
  }

  /** Waits briefly while a newer revision is being fetched. */
  async waitWhileHolding(): Promise<void> {
    while (this.stance === "hold") {
      await new Promise<void>((resolve) => {
        this.#options.timer.registerTimeout(resolve, HOLD_POLL_MILLISECONDS);
      });
    }
  }

  /** The error for new requests; undefined unless they are refused. */
  refusal(): KelpsparError | undefined {
    if (this.stance !== "refuse") return undefined;
    const hasNoRevision = this.#tracker.current === undefined;
    return new ResultError(
      "no_configuration",
      hasNoRevision
        ? "The daemon has no configuration yet"
        : `Revision ${this.#tracker.highestKnown} is in force and not here yet`,
    );
  }
}
