import type { Experiment, ExperimentRun } from "../experiment.ts";
import type { ArmName } from "../arm.ts";

const REQUESTS_PER_SECOND = 115;
const REPORT_INTERVAL_MILLISECONDS = 500;
const LONG_LAG_MILLISECONDS = 1_500;
const SHORT_LAG_MILLISECONDS = 100;

/**
 * Engines report their load every half second, one and a half seconds late. Up
 * to eight daemons route by these reports, at a load near the engines' capacity.
 * The last run has a report every 100 ms, 100 ms late.
 */
export const LAGGED_REPORTS: Experiment = {
  name: "lagged-reports",
  question: "Do several daemons herd onto engines that reported low load?",
  runs: [
    createRun("naive", 3, LONG_LAG_MILLISECONDS),
    createRun("kelpspar", 1, LONG_LAG_MILLISECONDS),
    createRun("kelpspar", 3, LONG_LAG_MILLISECONDS),
    createRun("kelpspar", 8, LONG_LAG_MILLISECONDS),
    createRun("kelpspar", 8, SHORT_LAG_MILLISECONDS),
  ],
};

function createRun(arm: ArmName, daemons: number, lag: number): ExperimentRun {
  return {
    arm,
    variant: `${daemons}-daemons-lag-${lag}`,
    site: {
      daemons,
      engine: {
        reportEveryMilliseconds: Math.min(lag, REPORT_INTERVAL_MILLISECONDS),
        reportLagMilliseconds: lag,
      },
    },
    load: { requestsPerSecond: REQUESTS_PER_SECOND, seconds: 8 },
  };
}
