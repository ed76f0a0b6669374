import type { TimerService } from "kelpspar-shared";
import type { Figures } from "../experiment.ts";
import type { ExperimentSite } from "../site/experiment_site.ts";
import type { RevisionMonitor } from "./revision_monitor.ts";
import { ACCOUNTS } from "../load/load_plan.ts";
import { requestAsOperator } from "./operator_client.ts";

const CHANGE_INTERVAL_MILLISECONDS = 60;
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
 * Concurrent operators that each change a value of their own, based on the
 * configuration that their daemon has in force. A change counts as reverted if a
 * later revision has another value than the accepted one.
 */
export class OperatorRace {
  readonly #site: ExperimentSite;
  readonly #timer: TimerService;
  readonly #monitor: RevisionMonitor;
  /** Last accepted value by operator. */
  readonly #accepted = new Map<number, AcceptedValue>();
  readonly #counts = { conflicts: 0, unanswered: 0, refusedChanges: 0 };
  #reverted = 0;
  #isStopped = false;
  #changes = 0;

  constructor(options: {
    readonly site: ExperimentSite;
    readonly timer: TimerService;
    readonly monitor: RevisionMonitor;
  }) {
    this.#site = options.site;
    this.#timer = options.timer;
    this.#monitor = options.monitor;
  }

  /** Applies changes in sequence until the race is stopped. */
  async applyRepeatedly(index: number): Promise<void> {
    while (!this.#isStopped) {
      await this.#applyChange(index);
      await new Promise<void>((resolve) => {
        this.#timer.registerTimeout(resolve, CHANGE_INTERVAL_MILLISECONDS);
      });
    }
  }

  /** Retries a change until it is accepted; returns its revision. */
  async applyOnce(index: number): Promise<number> {
    for (;;) {
      const revision = await this.#applyChange(index);
      if (revision !== undefined) return revision;
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  figures(): Figures {
    return { revertedChanges: this.#reverted, ...this.#counts };
  }

  async #applyChange(index: number): Promise<number | undefined> {
    const row = await this.#read(index);
    if (row === undefined) return undefined;
    this.#checkReverted(index, row);
    const value = FIRST_VALUE + ++this.#changes;
    const answer = await this.#request(index, {
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
    this.#monitor.accepted(revision);
    return revision;
  }

  #count(status: number | undefined): void {
    if (status === undefined) this.#counts.unanswered++;
    else if (status === STATUS_CONFLICT) this.#counts.conflicts++;
    else this.#counts.refusedChanges++;
  }

  async #read(index: number): Promise<RacedRow | undefined> {
    const answer = await this.#request(index, {
      method: "GET",
      path: "/v1/operator/configuration",
    });
    return answer?.status === STATUS_OK ? answer.body as RacedRow : undefined;
  }

  /** Counts a reverted change. Ignores revisions older than the change. */
  #checkReverted(index: number, row: RacedRow): void {
    const accepted = this.#accepted.get(index);
    if (accepted === undefined || row.revision < accepted.revision) return;
    const account = row.configuration.accounts[index];
    if (account?.maximumQueuedRequests === accepted.value) return;
    this.#reverted++;
    this.#accepted.delete(index);
  }

  #request(
    index: number,
    exchange: Parameters<typeof requestAsOperator>[1],
  ): ReturnType<typeof requestAsOperator> {
    const { daemons } = this.#site;
    const port = daemons[index % daemons.length]?.port ?? 0;
    return requestAsOperator(port, exchange, { timer: this.#timer });
  }
}

interface AcceptedValue {
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
