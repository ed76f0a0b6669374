import type { Experiment } from "../experiment.ts";
import { bothArms } from "../both_arms.ts";

const PAUSE_SECONDS = 3;

/**
 * Every daemon is replaced as planned: a new one is started, then the old one
 * gets SIGTERM. Callers go where a refusal sends them.
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
        await at(1 + index * PAUSE_SECONDS);
        await site.addDaemon();
        exitCodes.push(await site.stopDaemon(daemon));
      }
      note({ exitCodes });
    },
  }),
};
