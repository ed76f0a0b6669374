import type { Experiment, ExperimentRun } from "../experiment.ts";
import type { ArmName } from "../arm.ts";
import { shareOf } from "../measure/statistics.ts";
import { isAttained } from "../measure/judge_result.ts";

const BEGINS_SECONDS = 2;
const ENDS_SECONDS = 9;
const MILLISECONDS_A_SECOND = 1_000;

/**
 * The table is down for seven seconds. Half of the requests have a once-stage;
 * their keys are free, or bound to a daemon, which needs no claim.
 */
export const STORE_OUTAGE: Experiment = {
  name: "store-outage",
  question: "What is served while the table is down, by kind of key?",
  runs: [
    outage("naive", "free-keys", false),
    outage("kelpspar", "free-keys", false),
    outage("kelpspar", "bound-keys", true),
  ],
};

function outage(
  arm: ArmName,
  variant: string,
  bindsKeys: boolean,
): ExperimentRun {
  return {
    arm,
    variant,
    load: { seconds: 12, onceShare: 0.5 },
    callers: { bindsKeys },
    script: async ({ site, at }) => {
      await at(BEGINS_SECONDS);
      await site.faults.setTable({ outage: "hang" });
      await at(ENDS_SECONDS);
      await site.faults.setTable({ outage: "none" });
    },
    inspect: ({ measured }) => {
      const warmUp = measured[0]?.request.at ?? 0;
      const during = measured.filter(({ request }) => {
        const seconds = (request.at - warmUp) / MILLISECONDS_A_SECOND;
        return seconds >= BEGINS_SECONDS && seconds < ENDS_SECONDS;
      });
      const once = during.filter(({ request }) => request.hasOnceStage);
      const others = during.filter(({ request }) => !request.hasOnceStage);
      return {
        attainmentOnceInOutage: shareOf(once, isAttained),
        attainmentRepeatableInOutage: shareOf(others, isAttained),
      };
    },
  };
}
