import type { ManualTimer } from "kelpspar-shared";
import type { WorldDaemon } from "../daemon/world_daemon.ts";
import { ConfigurationApplier } from "kelpspar-daemon";
import { KelpsparError, toKelpsparError } from "kelpspar-shared";

/** A change that an operator asked for, and what became of it. */
export interface OperatorChange {
  readonly changeId: string;
  readonly submittedAt: number;
  /** The revision that the operator was told; undefined if none. */
  revision?: number;
  confirmedAt?: number;
  error?: KelpsparError;
}

/** What an operator drains. */
export interface DrainTarget {
  readonly kind: "endpoint" | "daemon";
  readonly id: string;
  /** The VM's incarnation. */
  readonly incarnation: string;
  readonly onAccepted: () => void;
}

const READ_BACK_INTERVAL_MILLISECONDS = 200;
const MAXIMUM_READ_BACKS = 50;
const HISTORY_REVISIONS = 100;

/** The operators of a world. */
export class Operators {
  readonly changes: OperatorChange[] = [];
  readonly drainErrors: KelpsparError[] = [];
  readonly #timer: ManualTimer;

  constructor(options: { readonly timer: ManualTimer }) {
    this.#timer = options.timer;
  }

  /** The highest revision that an operator was told was accepted. */
  get acceptedRevision(): number {
    return Math.max(0, ...this.changes.map(({ revision = 0 }) => revision));
  }

  /**
   * Applies a configuration on top of the revision that the daemon has, as
   * the command-line tool does: a lost answer is settled by reading back.
   */
  async apply(daemon: WorldDaemon, configuration: unknown): Promise<void> {
    const change: OperatorChange = {
      changeId: `change-${this.changes.length + 1}`,
      submittedAt: this.#timer.now(),
    };
    this.changes.push(change);
    void this.#applyChange(daemon, { change, configuration });
  }

  /** Drains an endpoint or daemon; `onAccepted` once it is stored. */
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
    const { roles } = daemon;
    const applier = new ConfigurationApplier(daemon.ports);
    try {
      const row = await applier.apply({
        configuration,
        expectedRevision: daemon.revision,
        changeId: change.changeId,
        operator: "release",
      });
      roles.offer(row);
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
