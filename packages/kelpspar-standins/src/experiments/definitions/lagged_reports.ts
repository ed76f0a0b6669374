import type { Experiment, ExperimentRun } from "../experiment.ts";
import type { ArmName } from "../arm.ts";

const REQUESTS_PER_SECOND = 115;
const EVERY_MILLISECONDS = 500;
const LAG_MILLISECONDS = 1_500;
const SHORT_MILLISECONDS = 100;

/**
 * Engines report their load every half second, one and a half seconds late, to
 * ever more daemons that route by it, close to what the engines can do.
 */
export const LAGGED_REPORTS: Experiment = {
  name: "lagged-reports",
  question: "Do several daemons herd onto engines that reported low load?",
  runs: [
    run("naive", 3, LAG_MILLISECONDS),
    run("kelpspar", 1, LAG_MILLISECONDS),
    run("kelpspar", 3, LAG_MILLISECONDS),
    run("kelpspar", 8, LAG_MILLISECONDS),
    run("kelpspar", 8, SHORT_MILLISECONDS),
  ],
};

function run(arm: ArmName, daemons: number, lag: number): ExperimentRun {
  return {
    arm,
    variant: `${daemons}-daemons-lag-${lag}`,
    site: {
      daemons,
      engine: {
        reportEveryMilliseconds: Math.min(lag, EVERY_MILLISECONDS),
        reportLagMilliseconds: lag,
      },
    },
    load: { requestsPerSecond: REQUESTS_PER_SECOND, seconds: 8 },
  };
}
