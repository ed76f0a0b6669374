import type { StageCost } from "kelpspar-shared";
import type { CallResult } from "../caller/call_result.ts";
import type { MeasuredRun } from "./measured_run.ts";
import { PIPELINE_SERVICES, SERVICES } from "../site/experiment_services.ts";
import { isAnswered } from "./judge_result.ts";
import { round } from "./statistics.ts";

/** Runner time and stage runs per answer of a run. */
export interface CostFigures {
  /** Runner milliseconds of a stage per completed answer that needs it. */
  readonly costByStage: Readonly<Record<string, number>>;
  /**
   * Runner time spent, divided by the time that the completed answers needed
   * at the mean time of stages with a single attempt.
   */
  readonly costRatio: number;
  /** Stage runs, divided by the stages of the completed answers. */
  readonly runRatio: number;
}

/**
 * Computes the costs of a run. Includes the warm-up, because endpoints count
 * from their start.
 */
export function costFigures(run: MeasuredRun): CostFigures {
  const answered = run.results.filter(isAnswered);
  const meanTimes = meanSingleAttemptTimes(answered);
  const costByStage: Record<string, number> = {};
  let spent = 0;
  let needed = 0;
  let runs = 0;
  let stages = 0;
  for (const service of SERVICES) {
    const count = answered.filter(({ request }) =>
      PIPELINE_SERVICES[request.pipeline].includes(service)
    ).length;
    const milliseconds = run.runnerTime.ofService(service);
    if (count > 0) {
      costByStage[service] = round(milliseconds / count, 2);
    }
    spent += milliseconds;
    needed += count * (meanTimes.get(service) ?? 0);
    runs += run.executions.runsOf(service);
    stages += count;
  }
  return {
    costByStage,
    costRatio: round(spent / needed, 3),
    runRatio: round(runs / stages, 3),
  };
}

/** Mean runner time of stages with a single attempt, by service. */
function meanSingleAttemptTimes(
  answered: readonly CallResult[],
): ReadonlyMap<string, number> {
  const sums = new Map<string, { milliseconds: number; count: number }>();
  for (const cost of answered.flatMap(costsOf)) {
    if (cost.attempts !== 1) continue;
    const sum = sums.get(cost.stageId) ?? { milliseconds: 0, count: 0 };
    sum.milliseconds += cost.runnerMilliseconds;
    sum.count++;
    sums.set(cost.stageId, sum);
  }
  return new Map(
    [...sums].map(([stage, sum]) => [stage, sum.milliseconds / sum.count]),
  );
}

function costsOf(result: CallResult): readonly StageCost[] {
  return result.end.type === "whole" ? result.end.end.cost : [];
}
