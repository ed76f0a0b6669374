import type { ExpectedCalls } from "kelpspar-decisions/admission";
import type { CostEstimator } from "kelpspar-decisions/fairness";
import type { ConfigurationIndexReader } from "../state/configuration_reader.ts";
import type { ExpectedCallName } from "./scheduler.ts";
import type { ServiceGate } from "./service_dispatcher.ts";

const SMALLEST_PART = 1e-3;

/** What waits are worked out from. */
export interface WaitEstimatorOptions {
  readonly expected: ExpectedCalls;
  readonly costs: CostEstimator;
  readonly configuration: ConfigurationIndexReader;
}

/** Works out how long calls will wait, and what they will cost. */
export class WaitEstimator {
  readonly #options: WaitEstimatorOptions;

  constructor(options: WaitEstimatorOptions) {
    this.#options = options;
  }

  /** How long a new call would wait for its turn, milliseconds. */
  estimate(gate: ServiceGate, call: {
    readonly service: string;
    readonly accountId: string;
    readonly priority: number;
  }): number {
    const queued = gate.isContended
      ? gate.queue.estimateWait(call.accountId, call.priority)
      : 0;
    return queued + this.#expectedWait(gate, call);
  }

  /** Counts a call that is going to be made; returns what takes it back. */
  expect(call: ExpectedCallName): () => void {
    return this.#options.expected.add({
      serviceId: call.service,
      accountId: call.accountId,
      cost: this.costOf(call),
    });
  }

  /** What a call is expected to cost, runner-milliseconds. */
  costOf(call: ExpectedCallName): number {
    return this.#options.costs.estimate({
      serviceId: call.service,
      accountId: call.accountId,
      pipelineId: call.pipelineId,
      stageId: call.stageId,
    }).runnerMilliseconds;
  }

  /** What the calls of admitted requests, still to come, add to a wait. */
  #expectedWait(
    gate: ServiceGate,
    call: { readonly service: string; readonly accountId: string },
  ): number {
    const { expected } = this.#options;
    if (expected.countCalls(call.service) === 0) return 0;
    return expected.estimateWait({
      serviceId: call.service,
      accountId: call.accountId,
      concurrency: gate.concurrency,
      freeSlots: Math.max(0, gate.limit - gate.running - gate.waiting),
      part: this.#partOf(gate, call),
      isContended: gate.waiting > 0,
    });
  }

  /** The account's part of the shares of all that contend for a service. */
  #partOf(
    gate: ServiceGate,
    call: { readonly service: string; readonly accountId: string },
  ): number {
    const { expected, configuration } = this.#options;
    const accounts = configuration.accounts();
    const shareOf = (id: string): number => accounts.get(id)?.share ?? 0;
    const contenders = new Set(expected.listAccounts(call.service));
    for (const { accountId } of gate.queue.backlogs()) {
      contenders.add(accountId);
    }
    contenders.add(call.accountId);
    let total = 0;
    for (const id of contenders) total += shareOf(id);
    return Math.max(SMALLEST_PART, shareOf(call.accountId) / (total || 1));
  }
}
