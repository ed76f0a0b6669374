import type { Experiment } from "../experiment.ts";
import { bothArms } from "../both_arms.ts";
import { OperatorRace } from "../configuration/operator_race.ts";
import { RevisionMonitor } from "../configuration/revision_monitor.ts";

const OPERATOR_COUNT = 4;
const RACE_ENDS_SECONDS = 5;
const LAST_CHANGE_SECONDS = 6;
const OUTAGE_ENDS_SECONDS = 16;

/**
 * Four operators apply changes concurrently, at the daemons in turn. Then one
 * more change is accepted, and the table hangs for ten seconds right after.
 */
export const CONFIGURATION_RACE: Experiment = {
  name: "configuration-race",
  question: "Are accepted changes in force everywhere, and do they stay?",
  runs: bothArms({
    load: { requestsPerSecond: 30, seconds: 18 },
    script: async ({ site, at, timer, note }) => {
      const monitor = new RevisionMonitor({ site, timer });
      const race = new OperatorRace({ site, timer, monitor });
      const stopMonitor = monitor.start();
      await at(0);
      const operators = Array.from(
        { length: OPERATOR_COUNT },
        (_, index) => race.applyRepeatedly(index),
      );
      await at(RACE_ENDS_SECONDS);
      race.stop();
      await Promise.all(operators);
      await at(LAST_CHANGE_SECONDS);
      const last = await race.applyOnce(0);
      await site.faults.setTable({ outage: "hang" });
      await at(OUTAGE_ENDS_SECONDS);
      await site.faults.setTable({ outage: "none" });
      await at(OUTAGE_ENDS_SECONDS + 1);
      stopMonitor();
      note({
        ...race.figures(),
        ...monitor.figures(),
        secondsInOutage: monitor.secondsToEverywhere(last) ?? null,
      });
    },
  }),
};
