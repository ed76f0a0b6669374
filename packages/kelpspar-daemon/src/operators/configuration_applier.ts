import type {
  ApplyAction,
  ApplyAttempt,
  ApplyEvent,
  ApplyOutcome,
  ApplyStep,
} from "kelpspar-decisions/revisions";
import type { TableService } from "kelpspar-backends";
import type { RandomSource, TimerService } from "kelpspar-shared";
import type { ConfigurationRow } from "../configuration/configuration_row.ts";
import {
  advanceApply,
  beginApply,
  CONFIGURATION_TABLE,
  CURRENT_REVISION_KEY,
  toApplyEvent,
  toFoundRevision,
} from "kelpspar-decisions/revisions";
import { ConfigurationStore } from "../configuration/configuration_store.ts";
import { KelpsparError, toKelpsparError } from "kelpspar-shared";

const APPLY_TIMEOUT_MILLISECONDS = 5_000;
const RESEND_DELAY_MILLISECONDS = 100;

/** A configuration change requested by an operator. */
export interface ConfigurationChangeRequest {
  readonly configuration: unknown;
  /** The revision that the change is based on; 0 for the first. */
  readonly expectedRevision: number;
  readonly changeId: string;
  readonly operator: string;
}

/** Dependencies of a `ConfigurationApplier`. */
export interface ConfigurationApplierOptions {
  readonly table: TableService;
  readonly timer: TimerService;
  readonly random: RandomSource;
}

/**
 * Accepts configuration changes by compare-and-set on one row, so that of
 * concurrent changes one is accepted and the others get a conflict. The decision
 * logic is in kelpspar-decisions; this class executes it against the table.
 */
export class ConfigurationApplier {
  readonly #options: ConfigurationApplierOptions;
  readonly #store: ConfigurationStore;

  constructor(options: ConfigurationApplierOptions) {
    this.#options = options;
    this.#store = new ConfigurationStore(options);
  }

  /** Throws `revision_conflict`, `store_unavailable` or `apply_unconfirmed`. */
  async apply(change: ConfigurationChangeRequest): Promise<ConfigurationRow> {
    const fields = {
      operator: change.operator,
      acceptedAt: this.#options.timer.wallClock(),
      configuration: change.configuration,
    };
    const outcome = await this.#run(await this.#begin(change, fields));
    if (outcome.type !== "accepted") throw toError(change, outcome);
    return await this.#readAccepted(change, outcome.revision);
  }

  /**
   * Reads the accepted row back. If the change id was used before, the row has
   * the configuration that was accepted then, not that of this request.
   */
  async #readAccepted(
    change: ConfigurationChangeRequest,
    revision: number,
  ): Promise<ConfigurationRow> {
    const row = await this.#store.readRevision(revision)
      .catch(() => undefined);
    if (row !== undefined) return row;
    throw new KelpsparError(
      "apply_unconfirmed",
      `Change "${change.changeId}" was accepted as revision ${revision}, but could not be read back`,
    );
  }

  async #begin(
    change: ConfigurationChangeRequest,
    fields: Readonly<Record<string, unknown>>,
  ): Promise<ApplyStep> {
    const { changeId, expectedRevision } = change;
    const [row = null] = await this.#options.table.read([
      { table: CONFIGURATION_TABLE, key: CURRENT_REVISION_KEY },
    ]);
    return beginApply({ changeId, fields, expectedRevision }, {
      current: toFoundRevision(row),
    });
  }

  async #run(first: ApplyStep): Promise<ApplyOutcome> {
    const deadline = this.#options.timer.now() + APPLY_TIMEOUT_MILLISECONDS;
    let step = first;
    for (;;) {
      const [action] = step.actions;
      if (action === undefined) return { type: "unconfirmed" };
      if (action.type === "finish") return action.outcome;
      const isTimedOut = this.#options.timer.now() >= deadline;
      const event = isTimedOut
        ? { type: "give_up" } as const
        : await this.#execute(step.attempt, action);
      step = advanceApply(step.attempt, event);
    }
  }

  async #execute(
    attempt: ApplyAttempt,
    action: Exclude<ApplyAction, { readonly type: "finish" }>,
  ): Promise<ApplyEvent> {
    const { table } = this.#options;
    if (action.type === "resend_later") return await this.#waitToResend();
    try {
      if (action.type === "commit") {
        return toApplyEvent(attempt, await table.commit(action));
      }
      const [row = null] = await table.read([action]);
      return { type: "history", found: toFoundRevision(row) };
    } catch (thrown) {
      const error = toKelpsparError(thrown, "write_unknown");
      // Only this answer of the table proves that nothing was written.
      const isNotWritten = error.result === "table_unavailable";
      return { type: isNotWritten ? "unavailable" : "unknown" };
    }
  }

  async #waitToResend(): Promise<ApplyEvent> {
    const { timer, random } = this.#options;
    await new Promise<void>((resolve) => {
      timer.registerTimeout(
        resolve,
        RESEND_DELAY_MILLISECONDS * (0.5 + random.next()),
      );
    });
    return { type: "resend" };
  }
}

function toError(
  change: ConfigurationChangeRequest,
  outcome: Exclude<ApplyOutcome, { readonly type: "accepted" }>,
): KelpsparError {
  const name = `change "${change.changeId}"`;
  if (outcome.type === "conflict") {
    return new KelpsparError(
      "revision_conflict",
      `Cannot apply ${name} on revision ${change.expectedRevision}: revision ${outcome.revision} is in force`,
    );
  }
  if (outcome.type === "not_written") {
    return new KelpsparError(
      "store_unavailable",
      `Cannot apply ${name}: the table service never took it`,
    );
  }
  return new KelpsparError(
    "apply_unconfirmed",
    `Whether ${name} was accepted is not known yet: look it up by its id`,
  );
}
