import type { CallResult } from "../caller/call_result.ts";
import type { Figures } from "../experiment.ts";
import type { MeasuredRun } from "./measured_run.ts";
import { LARGE_ACCOUNT } from "../load/load_plan.ts";
import { costFigures } from "./cost_figures.ts";
import {
  isAnswered,
  isAttained,
  isDoubled,
  isFalseNotRun,
  isForeign,
  isLost,
} from "./judge_result.ts";
import { quantile, round, shareOf } from "./statistics.ts";

const MAXIMUM_MESSAGES = 3;

/** Computes the figures that all experiments have. */
export function summarize(run: MeasuredRun): Figures {
  return {
    sent: run.measured.length,
    ...attainmentFigures(run),
    ...correctnessFigures(run),
    ...costFigures(run),
    ...latencyFigures(run),
    refused: run.measured.filter(isRefused).length,
    endings: countEndings(run.measured),
    ...internalErrors(run.measured),
    loaderUtilization: round(run.utilization, 3),
    loaderLagP99Milliseconds: round(quantile(run.lags, 0.99), 1),
  };
}

function attainmentFigures(run: MeasuredRun): Figures {
  const isLarge = ({ request }: CallResult): boolean =>
    request.account === LARGE_ACCOUNT;
  const attained = run.measured.filter(isAttained).length;
  return {
    attainment: shareOf(run.measured, isAttained),
    attainmentLarge: shareOf(run.measured.filter(isLarge), isAttained),
    attainmentOthers: shareOf(
      run.measured.filter((result) => !isLarge(result)),
      isAttained,
    ),
    goodputPerSecond: round(attained / run.seconds, 1),
  };
}

/** Violations of guarantees; these include the warm-up. */
function correctnessFigures(run: MeasuredRun): Figures {
  const { results, executions, deadDaemonPorts } = run;
  const count = (condition: (result: CallResult) => boolean): number =>
    results.filter(condition).length;
  return {
    doubled: count((result) => isDoubled(result, executions)),
    lost: run.resultsGone + count((result) => isLost(result, executions)),
    foreign: count(isForeign),
    wrongText: count((result) =>
      result.end.type === "corrupt" ||
      (result.end.type === "whole" && !isAnswered(result))
    ),
    falseNotRun: count((result) => isFalseNotRun(result, executions)),
    cutOff: count(({ cutAt }) =>
      cutAt.some((port) => !deadDaemonPorts.has(port))
    ),
    cutBeforeAccepted: count(({ end }) =>
      end.type === "cut" && !end.wasAccepted
    ),
    unknownThatRan: count((result) =>
      isUnknown(result) && executions.onceRuns(result.request.token) > 0
    ),
    unknownThatDidNotRun: count((result) =>
      isUnknown(result) && executions.onceRuns(result.request.token) === 0
    ),
    cutByDeaths: count(({ cutAt }) =>
      cutAt.some((port) => deadDaemonPorts.has(port))
    ),
  };
}

/** True for a once-request of which its caller cannot tell whether it ran. */
function isUnknown({ end, request }: CallResult): boolean {
  if (!request.hasOnceStage || end.type === "whole") return false;
  return end.type !== "failure" || end.failure.outcome !== "not_run";
}

function latencyFigures(run: MeasuredRun): Figures {
  const times = run.measured.filter(isAnswered)
    .map(({ milliseconds }) => milliseconds)
    .sort((left, right) => left - right);
  return {
    p50Milliseconds: round(quantile(times, 0.5), 1),
    p99Milliseconds: round(quantile(times, 0.99), 1),
  };
}

function isRefused({ end }: CallResult): boolean {
  return end.type === "failure" && end.failure.outcome === "not_run";
}

/** The first distinct messages of internal errors. */
function internalErrors(results: readonly CallResult[]): Figures {
  const messages = results.flatMap(({ end }) =>
    end.type === "failure" && end.failure.result === "internal_error"
      ? [end.failure.message]
      : []
  );
  if (messages.length === 0) return {};
  return { internalErrors: [...new Set(messages)].slice(0, MAXIMUM_MESSAGES) };
}

/** Counts the final results of requests by name. */
function countEndings(results: readonly CallResult[]): Figures {
  const counts: Record<string, number> = {};
  for (const result of results) {
    const name = nameEnding(result);
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

function nameEnding(result: CallResult): string {
  const { end } = result;
  if (end.type === "failure") return end.failure.result;
  if (end.type !== "whole") return end.type;
  return isAttained(result) ? "attained" : "late_or_wrong";
}
