const DEFAULT_SMOOTHING = 0.1;
const DEFAULT_COST = 100;
const SAMPLES_TO_TRUST = 5;

/** Which calls are taken to cost alike. */
export interface CostKey {
  readonly serviceId: string;
  readonly accountId: string;
  readonly pipelineId: string;
  readonly stageId: string;
}

/** What a call cost, or is expected to cost. */
export interface CallCost {
  readonly runnerMilliseconds: number;
  readonly tokensIn: number;
  readonly tokensOut: number;
}

/** How costs are learned. */
export interface CostEstimatorOptions {
  /** Weight of a new cost in the mean; default 0.1. */
  readonly smoothing?: number;
  /** Runner-milliseconds of a call of which nothing is known; default 100. */
  readonly defaultCost?: number;
}

interface MeanCost extends CallCost {
  readonly samples: number;
}

/**
 * Expected cost of a call, as exponentially weighted means of what such calls
 * did cost: of the account's own calls of the stage once there are five, else
 * of all accounts' calls of the stage, else of the service.
 */
export class CostEstimator {
  readonly #means = new Map<string, MeanCost>();
  readonly #smoothing: number;
  readonly #unknown: CallCost;

  constructor(options: CostEstimatorOptions = {}) {
    this.#smoothing = options.smoothing ?? DEFAULT_SMOOTHING;
    const runnerMilliseconds = options.defaultCost ?? DEFAULT_COST;
    this.#unknown = { runnerMilliseconds, tokensIn: 0, tokensOut: 0 };
  }

  observe(key: CostKey, cost: CallCost): void {
    // Costs come from endpoints: one that is no number would stay in the mean.
    if (!isUsable(cost)) return;
    for (const name of namesOf(key)) this.#learn(name, cost);
  }

  estimate(key: CostKey): CallCost {
    let fallback: CallCost = this.#unknown;
    for (const name of namesOf(key)) {
      const mean = this.#means.get(name);
      if (mean === undefined) continue;
      if (mean.samples >= SAMPLES_TO_TRUST) return mean;
      fallback = mean;
    }
    return fallback;
  }

  #learn(name: string, cost: CallCost): void {
    const mean = this.#means.get(name);
    const samples = (mean?.samples ?? 0) + 1;
    // The first samples count alike: with the smoothing alone the very first
    // cost would dominate the estimate for the next twenty calls.
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
  const least = Math.min(runnerMilliseconds, tokensIn, tokensOut);
  return least >= 0 &&
    Number.isFinite(runnerMilliseconds + tokensIn + tokensOut);
}

/** From the most particular to the most general. */
function namesOf(key: CostKey): readonly string[] {
  const stage = `${key.serviceId}/${key.pipelineId}/${key.stageId}`;
  return [`${stage}/${key.accountId}`, stage, key.serviceId];
}
