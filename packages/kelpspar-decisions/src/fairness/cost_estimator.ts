const DEFAULT_SMOOTHING = 0.1;
const DEFAULT_COST_RUNNER_MILLISECONDS = 100;
const MINIMUM_SAMPLES = 5;

/** Identifies calls that are assumed to have similar costs. */
export interface CostKey {
  readonly serviceId: string;
  readonly accountId: string;
  readonly pipelineId: string;
  readonly stageId: string;
}

/** Actual or estimated cost of a call. */
export interface CallCost {
  readonly runnerMilliseconds: number;
  readonly tokensIn: number;
  readonly tokensOut: number;
}

/** Options of `CostEstimator`. */
export interface CostEstimatorOptions {
  /** Weight of a new sample in the mean; default 0.1. */
  readonly smoothing?: number;
  /** Runner-milliseconds of a call without any samples; default 100. */
  readonly defaultCost?: number;
}

interface MeanCost extends CallCost {
  readonly samples: number;
}

/**
 * Estimates the cost of a call with exponentially weighted means: of the
 * account's own calls of the stage once there are five samples, otherwise of
 * all accounts' calls of the stage, otherwise of the service.
 */
export class CostEstimator {
  readonly #means = new Map<string, MeanCost>();
  readonly #smoothing: number;
  readonly #unknown: CallCost;

  constructor(options: CostEstimatorOptions = {}) {
    this.#smoothing = options.smoothing ?? DEFAULT_SMOOTHING;
    const runnerMilliseconds = options.defaultCost ??
      DEFAULT_COST_RUNNER_MILLISECONDS;
    this.#unknown = { runnerMilliseconds, tokensIn: 0, tokensOut: 0 };
  }

  observe(key: CostKey, cost: CallCost): void {
    // Costs come from endpoints; an invalid number would corrupt the mean
    // permanently.
    if (!isUsable(cost)) return;
    for (const name of keysOf(key)) this.#updateMean(name, cost);
  }

  estimate(key: CostKey): CallCost {
    let fallback: CallCost = this.#unknown;
    for (const name of keysOf(key)) {
      const mean = this.#means.get(name);
      if (mean === undefined) continue;
      if (mean.samples >= MINIMUM_SAMPLES) return mean;
      fallback = mean;
    }
    return fallback;
  }

  #updateMean(name: string, cost: CallCost): void {
    const mean = this.#means.get(name);
    const samples = (mean?.samples ?? 0) + 1;
    // The first samples have equal weight: with the smoothing alone, the first
    // sample would dominate the estimate for the next twenty calls.
    const share = Math.max(this.#smoothing, 1 / samples);
    const blend = (before: number | undefined, after: number): number =>
      (before ?? 0) + share * (after - (before ?? 0));
    this.#means.set(name, {
      runnerMilliseconds: blend(
        mean?.runnerMilliseconds,
        cost.runnerMilliseconds,
      ),
      tokensIn: blend(mean?.tokensIn, cost.tokensIn),
      tokensOut: blend(mean?.tokensOut, cost.tokensOut),
      samples,
    });
  }
}

function isUsable(cost: CallCost): boolean {
  const { runnerMilliseconds, tokensIn, tokensOut } = cost;
  const smallest = Math.min(runnerMilliseconds, tokensIn, tokensOut);
  return smallest >= 0 &&
    Number.isFinite(runnerMilliseconds + tokensIn + tokensOut);
}

/** Keys from the most specific to the most general. */
function keysOf(key: CostKey): readonly string[] {
  const stage = `${key.serviceId}/${key.pipelineId}/${key.stageId}`;
  return [`${stage}/${key.accountId}`, stage, key.serviceId];
}
