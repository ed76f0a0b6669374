import type { ExpectedCalls } from "kelpspar-decisions/admission";
import type { CostEstimator } from "kelpspar-decisions/fairness";
import type { ConfigurationIndexReader } from "../state/configuration_reader.ts";
import type { ExpectedCallKey } from "./scheduler.ts";
import type { ServiceDispatcher } from "./service_dispatcher.ts";

const MINIMUM_SHARE_FRACTION = 1e-3;

/** Options of `WaitEstimator`. */
export interface WaitEstimatorOptions {
  readonly expected: ExpectedCalls;
  readonly costs: CostEstimator;
  readonly configuration: ConfigurationIndexReader;
}

/** Estimates the queueing time and the cost of calls. */
export class WaitEstimator {
  readonly #options: WaitEstimatorOptions;

  constructor(options: WaitEstimatorOptions) {
    this.#options = options;
  }

  /** Estimated queueing time of a new call, milliseconds. */
  estimate(dispatcher: ServiceDispatcher, call: {
    readonly service: string;
    readonly accountId: string;
    readonly priority: number;
  }): number {
    const queued = dispatcher.isContended
      ? dispatcher.queue.estimateWait(call.accountId, call.priority)
      : 0;
    return queued + this.#expectedWait(dispatcher, call);
  }

  /** Registers an expected call; returns the teardown. */
  expect(call: ExpectedCallKey): () => void {
    return this.#options.expected.add({
      serviceId: call.service,
      accountId: call.accountId,
      cost: this.costOf(call),
    });
  }

  /** Estimated cost of a call, runner-milliseconds. */
  costOf(call: ExpectedCallKey): number {
    return this.#options.costs.estimate({
      serviceId: call.service,
      accountId: call.accountId,
      pipelineId: call.pipelineId,
      stageId: call.stageId,
    }).runnerMilliseconds;
  }

  /** Queueing time added by expected calls of admitted requests. */
  #expectedWait(
    dispatcher: ServiceDispatcher,
    call: { readonly service: string; readonly accountId: string },
  ): number {
    const { expected } = this.#options;
    if (expected.countCalls(call.service) === 0) return 0;
    return expected.estimateWait({
      serviceId: call.service,
      accountId: call.accountId,
      concurrency: dispatcher.concurrency,
      freeSlots: Math.max(
        0,
        dispatcher.limit - dispatcher.running - dispatcher.waiting,
      ),
      part: this.#shareFractionOf(dispatcher, call),
      isContended: dispatcher.waiting > 0,
    });
  }

  /** The account's fraction of the shares of all accounts in contention. */
  #shareFractionOf(
    dispatcher: ServiceDispatcher,
    call: { readonly service: string; readonly accountId: string },
  ): number {
    const { expected, configuration } = this.#options;
    const accounts = configuration.accounts();
    const shareOf = (id: string): number => accounts.get(id)?.share ?? 0;
    const contenders = new Set(expected.listAccounts(call.service));
    for (const { accountId } of dispatcher.queue.backlogs()) {
      contenders.add(accountId);
    }
    contenders.add(call.accountId);
    let total = 0;
    for (const id of contenders) total += shareOf(id);
    return Math.max(
      MINIMUM_SHARE_FRACTION,
      shareOf(call.accountId) / (total || 1),
    );
  }
}
