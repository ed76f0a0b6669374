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

const PATIENCE_MILLISECONDS = 5_000;
const RESEND_MILLISECONDS = 100;

/** A change of the configuration as an operator asks for it. */
export interface ConfigurationChangeRequest {
  readonly configuration: unknown;
  /** The revision the change was made from; 0 for the first. */
  readonly expectedRevision: number;
  readonly changeId: string;
  readonly operator: string;
}

/** What changes are applied with. */
export interface ConfigurationApplierOptions {
  readonly table: TableService;
  readonly timer: TimerService;
  readonly random: RandomSource;
}

/**
 * Accepts changes of the configuration by compare-and-set on one row, so that
 * of operators who race one wins and the others learn of it. All decisions are
 * those of kelpspar-decisions; here they meet the table.
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
   * Reads back what was accepted: a change id that was used before names what
   * was accepted then, whatever stands in this one.
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
    const giveUpAt = this.#options.timer.now() + PATIENCE_MILLISECONDS;
    let step = first;
    for (;;) {
      const [action] = step.actions;
      if (action === undefined) return { type: "unconfirmed" };
      if (action.type === "finish") return action.outcome;
      const isOver = this.#options.timer.now() >= giveUpAt;
      const event = isOver
        ? { type: "give_up" } as const
        : await this.#act(step.attempt, action);
      step = advanceApply(step.attempt, event);
    }
  }

  async #act(
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
      // Only the table's own word proves that nothing was written.
      const isProved = error.result === "table_unavailable";
      return { type: isProved ? "unavailable" : "unknown" };
    }
  }

  async #waitToResend(): Promise<ApplyEvent> {
    const { timer, random } = this.#options;
    await new Promise<void>((resolve) => {
      timer.registerTimeout(
        resolve,
        RESEND_MILLISECONDS * (0.5 + random.next()),
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
