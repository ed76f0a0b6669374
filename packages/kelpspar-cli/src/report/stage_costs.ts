import type { MergedHistogram } from "./merge_histograms.ts";

/** The endpoint usage of a stage for one client account and class. */
export interface StageCostFigures {
  readonly account: string;
  readonly class: string;
  readonly stage: string;
  /** Requests that reached the stage. */
  readonly requests: number;
  readonly runnerMilliseconds: number;
  readonly runnerMillisecondsPerRequest: number;
  /** Input and output tokens. */
  readonly tokens: number;
  readonly tokensPerRequest: number;
}

/** Total costs, without the figures per request. */
export interface CostTotals {
  readonly requests: number;
  readonly runnerMilliseconds: number;
  readonly tokens: number;
}

/** Computes the cost by client account, class and stage. */
export function computeStageCosts(
  histograms: readonly MergedHistogram[],
): readonly StageCostFigures[] {
  const tokens = new Map(
    histograms.filter(({ name }) => name === "cost_tokens").map((histogram) => [
      keyOf(histogram),
      histogram.mean * histogram.count,
    ]),
  );
  return histograms.filter(({ name }) => name === "cost_runner_milliseconds")
    .map((histogram) => ({
      account: histogram.account,
      class: histogram.class,
      stage: histogram.stage ?? "",
      ...addPerRequestFigures({
        requests: histogram.count,
        runnerMilliseconds: histogram.mean * histogram.count,
        tokens: tokens.get(keyOf(histogram)) ?? 0,
      }),
    }));
}

/** Sums the cost of all client accounts by class and stage. */
export function sumCostsByStage(
  costs: readonly StageCostFigures[],
): readonly Omit<StageCostFigures, "account">[] {
  const sums = new Map<string, Omit<StageCostFigures, "account">>();
  for (const cost of costs) {
    const key = JSON.stringify([cost.class, cost.stage]);
    const sum = sums.get(key);
    const totals = addPerRequestFigures({
      requests: (sum?.requests ?? 0) + cost.requests,
      runnerMilliseconds: (sum?.runnerMilliseconds ?? 0) +
        cost.runnerMilliseconds,
      tokens: (sum?.tokens ?? 0) + cost.tokens,
    });
    sums.set(key, { class: cost.class, stage: cost.stage, ...totals });
  }
  return [...sums.values()];
}

function addPerRequestFigures(
  totals: CostTotals,
): Omit<StageCostFigures, "account" | "class" | "stage"> {
  const { requests, runnerMilliseconds, tokens } = totals;
  return {
    ...totals,
    runnerMillisecondsPerRequest: runnerMilliseconds / requests,
    tokensPerRequest: tokens / requests,
  };
}

function keyOf(histogram: MergedHistogram): string {
  return JSON.stringify([
    histogram.account,
    histogram.class,
    histogram.stage,
  ]);
}
