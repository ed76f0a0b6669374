import type { TimerService } from "kelpspar-shared";
import type { ConfigurationRow } from "../configuration/configuration_row.ts";
import type { ConfigurationStore } from "../configuration/configuration_store.ts";
import { KelpsparError } from "kelpspar-shared";

/** A change of the configuration as an operator asks for it. */
export interface ConfigurationChangeRequest {
  readonly configuration: unknown;
  /** The revision the change was made from; 0 for the first. */
  readonly expectedRevision: number;
  readonly changeId: string;
  readonly operator: string;
}

/** Accepts changes of the configuration, one at a time over the fleet. */
export class ConfigurationApplier {
  readonly #store: ConfigurationStore;
  readonly #timer: TimerService;

  constructor(options: {
    readonly store: ConfigurationStore;
    readonly timer: TimerService;
  }) {
    this.#store = options.store;
    this.#timer = options.timer;
  }

  /** Throws `revision_conflict`, `store_unavailable` or `apply_unconfirmed`. */
  async apply(change: ConfigurationChangeRequest): Promise<ConfigurationRow> {
    const before = await this.#store.read();
    const revision = before.row?.revision ?? 0;
    if (before.row?.changeId === change.changeId) return before.row;
    if (revision !== change.expectedRevision) {
      throw conflictError(change, revision);
    }
    const row: ConfigurationRow = {
      revision: revision + 1,
      changeId: change.changeId,
      operator: change.operator,
      acceptedAt: this.#timer.wallClock(),
      configuration: change.configuration,
    };
    const conflict = await this.#store.write(row, before);
    if (conflict === undefined) return row;
    throw conflictError(change, conflict.row?.revision ?? 0);
  }
}

function conflictError(
  change: ConfigurationChangeRequest,
  revision: number,
): KelpsparError {
  return new KelpsparError(
    "revision_conflict",
    `Cannot apply change "${change.changeId}" on revision ${change.expectedRevision}: revision ${revision} is in force`,
  );
}
