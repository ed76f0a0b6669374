import type { ManualTimer } from "kelpspar-shared";
import type { WorldDaemon } from "../daemon/world_daemon.ts";
import { ConfigurationApplier } from "kelpspar-daemon";
import { KelpsparError, toKelpsparError } from "kelpspar-shared";

/** A configuration change by an operator, and its outcome. */
export interface OperatorChange {
  readonly changeId: string;
  /** Monotonic milliseconds, as are the other times. */
  readonly submittedAt: number;
  /** The revision confirmed to the operator; undefined if there is none. */
  revision?: number;
  confirmedAt?: number;
  error?: KelpsparError;
}

/** An endpoint or daemon to drain. */
export interface DrainTarget {
  readonly kind: "endpoint" | "daemon";
  readonly id: string;
  /** The VM's incarnation. */
  readonly incarnation: string;
  /** Called when the drain is stored. */
  readonly onAccepted: () => void;
}

const READ_BACK_INTERVAL_MILLISECONDS = 200;
const MAXIMUM_READ_BACKS = 50;
const HISTORY_REVISIONS = 100;

/** Simulates operators, who change the configuration and drain endpoints. */
export class Operators {
  readonly changes: OperatorChange[] = [];
  readonly drainErrors: KelpsparError[] = [];
  readonly #timer: ManualTimer;

  constructor(options: { readonly timer: ManualTimer }) {
    this.#timer = options.timer;
  }

  /** The highest revision that was confirmed to an operator. */
  get acceptedRevision(): number {
    return Math.max(0, ...this.changes.map(({ revision = 0 }) => revision));
  }

  /**
   * Applies a configuration on top of the daemon's active revision, as the
   * command-line tool does: if the answer is lost, the outcome is read back.
   */
  async apply(daemon: WorldDaemon, configuration: unknown): Promise<void> {
    const change: OperatorChange = {
      changeId: `change-${this.changes.length + 1}`,
      submittedAt: this.#timer.now(),
    };
    this.changes.push(change);
    void this.#applyChange(daemon, { change, configuration });
  }

  /** Drains an endpoint or daemon. */
  async drain(daemon: WorldDaemon, options: DrainTarget): Promise<void> {
    const { onAccepted, ...target } = options;
    void daemon.core.drains.drain(target).then((drains) => {
      daemon.core.state.update(() => ({ drains }));
      onAccepted();
    }, (thrown) => this.drainErrors.push(toKelpsparError(thrown)));
  }

  async #applyChange(daemon: WorldDaemon, options: {
    readonly change: OperatorChange;
    readonly configuration: unknown;
  }): Promise<void> {
    const { change, configuration } = options;
    const { actors } = daemon;
    const applier = new ConfigurationApplier(daemon.ports);
    try {
      const row = await applier.apply({
        configuration,
        expectedRevision: daemon.revision,
        changeId: change.changeId,
        operator: "release",
      });
      actors.offer(row);
      this.#confirm(change, row.revision);
    } catch (thrown) {
      const error = toKelpsparError(thrown);
      if (error.result !== "apply_unconfirmed") {
        change.error = error;
        return;
      }
      await this.#readBack(daemon, change);
    }
  }

  async #readBack(daemon: WorldDaemon, change: OperatorChange): Promise<void> {
    for (let attempt = 0; attempt < MAXIMUM_READ_BACKS; attempt++) {
      const rows = await daemon.core.store.history(HISTORY_REVISIONS).catch(
        () => [],
      );
      const row = rows.find(({ changeId }) => changeId === change.changeId);
      if (row !== undefined) return this.#confirm(change, row.revision);
      await new Promise<void>((resolve) => {
        this.#timer.registerTimeout(resolve, READ_BACK_INTERVAL_MILLISECONDS);
      });
    }
    change.error = new KelpsparError(
      "apply_unconfirmed",
      `Change "${change.changeId}" was not found`,
    );
  }

  #confirm(change: OperatorChange, revision: number): void {
    change.revision = revision;
    change.confirmedAt = this.#timer.now();
  }
}
