import type { Experiment } from "../experiment.ts";
import { bothArms } from "../both_arms.ts";

const STOP_INTERVAL_SECONDS = 3;

/**
 * A planned replacement of every daemon: a new one is started, then the old one
 * receives SIGTERM. Callers retry at the daemons that a refusal names.
 */
export const ROLLING_STOP: Experiment = {
  name: "rolling-stop",
  question: "Does a planned stop of each daemon in turn cut anything off?",
  runs: bothArms({
    load: { seconds: 12, onceShare: 0.5 },
    callers: { followsElsewhere: true },
    script: async ({ site, at, note }) => {
      const exitCodes: (number | null)[] = [];
      for (const [index, daemon] of site.daemons.entries()) {
        await at(1 + index * STOP_INTERVAL_SECONDS);
        await site.addDaemon();
        exitCodes.push(await site.stopDaemon(daemon));
      }
      note({ exitCodes });
    },
  }),
};
