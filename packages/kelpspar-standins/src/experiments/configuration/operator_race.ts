import type { TimerService } from "kelpspar-shared";
import type { Figures } from "../experiment.ts";
import type { ExperimentSite } from "../site/experiment_site.ts";
import type { RevisionWatch } from "./revision_monitor.ts";
import { ACCOUNTS } from "../load/load_plan.ts";
import { askAsOperator } from "./operator_client.ts";

const PAUSE_MILLISECONDS = 60;
const FIRST_VALUE = 300;
const STATUS_OK = 200;
const STATUS_CONFLICT = 409;

interface RacedConfiguration {
  readonly accounts: readonly {
    readonly id: string;
    readonly maximumQueuedRequests?: number;
  }[];
}

interface RacedRow {
  readonly revision: number;
  readonly configuration: RacedConfiguration;
}

/**
 * Operators that each change a value of their own, on top of the configuration
 * that their daemon has in force. A value that was accepted and is another one
 * in a later revision was reverted.
 */
export class OperatorRace {
  readonly #site: ExperimentSite;
  readonly #timer: TimerService;
  readonly #watch: RevisionWatch;
  /** What each operator was last told is accepted. */
  readonly #accepted = new Map<number, RacedValue>();
  readonly #counts = { conflicts: 0, unanswered: 0, refusedChanges: 0 };
  #reverted = 0;
  #isStopped = false;
  #changes = 0;

  constructor(options: {
    readonly site: ExperimentSite;
    readonly timer: TimerService;
    readonly watch: RevisionWatch;
  }) {
    this.#site = options.site;
    this.#timer = options.timer;
    this.#watch = options.watch;
  }

  /** Applies one change after the other until the race is stopped. */
  async operate(index: number): Promise<void> {
    while (!this.#isStopped) {
      await this.#change(index);
      await new Promise<void>((resolve) => {
        this.#timer.registerTimeout(resolve, PAUSE_MILLISECONDS);
      });
    }
  }

  /** Applies one change, however often it takes; returns its revision. */
  async applyOnce(index: number): Promise<number> {
    for (;;) {
      const revision = await this.#change(index);
      if (revision !== undefined) return revision;
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  figures(): Figures {
    return { revertedChanges: this.#reverted, ...this.#counts };
  }

  async #change(index: number): Promise<number | undefined> {
    const row = await this.#read(index);
    if (row === undefined) return undefined;
    this.#checkKept(index, row);
    const value = FIRST_VALUE + ++this.#changes;
    const answer = await this.#ask(index, {
      method: "POST",
      path: "/v1/operator/configuration",
      body: {
        configuration: withValue(row.configuration, { index, value }),
        expectedRevision: row.revision,
        changeId: `operator-${index}-${value}`,
      },
    });
    if (answer?.status !== STATUS_OK) {
      this.#count(answer?.status);
      return undefined;
    }
    const { revision } = answer.body as { readonly revision: number };
    this.#accepted.set(index, { value, revision });
    this.#watch.accepted(revision);
    return revision;
  }

  #count(status: number | undefined): void {
    if (status === undefined) this.#counts.unanswered++;
    else if (status === STATUS_CONFLICT) this.#counts.conflicts++;
    else this.#counts.refusedChanges++;
  }

  async #read(index: number): Promise<RacedRow | undefined> {
    const answer = await this.#ask(index, {
      method: "GET",
      path: "/v1/operator/configuration",
    });
    return answer?.status === STATUS_OK ? answer.body as RacedRow : undefined;
  }

  /** A daemon that has not heard of the change yet says nothing of it. */
  #checkKept(index: number, row: RacedRow): void {
    const accepted = this.#accepted.get(index);
    if (accepted === undefined || row.revision < accepted.revision) return;
    const account = row.configuration.accounts[index];
    if (account?.maximumQueuedRequests === accepted.value) return;
    this.#reverted++;
    this.#accepted.delete(index);
  }

  #ask(
    index: number,
    exchange: Parameters<typeof askAsOperator>[1],
  ): ReturnType<typeof askAsOperator> {
    const { daemons } = this.#site;
    const port = daemons[index % daemons.length]?.port ?? 0;
    return askAsOperator(port, exchange, { timer: this.#timer });
  }
}

interface RacedValue {
  readonly value: number;
  readonly revision: number;
}

function withValue(
  configuration: RacedConfiguration,
  change: { readonly index: number; readonly value: number },
): RacedConfiguration {
  const changed = ACCOUNTS[change.index];
  return {
    ...configuration,
    accounts: configuration.accounts.map((account) =>
      account.id === changed
        ? { ...account, maximumQueuedRequests: change.value }
        : account
    ),
  };
}
