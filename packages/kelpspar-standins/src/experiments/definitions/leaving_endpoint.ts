import type { Experiment } from "../experiment.ts";
import { bothArms } from "../both_arms.ts";

const LISTED_ONLY_SECONDS = 4;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Two engines and a retriever are listed as leaving but still accept calls. Four
 * seconds later they drain: they finish their running calls, refuse new ones
 * and exit.
 */
export const LEAVING_ENDPOINT: Experiment = {
  name: "leaving-endpoint",
  question: "How long does a leaving endpoint get new work?",
  runs: bothArms({
    load: { seconds: 12 },
    script: async ({ site, at, timer, note }) => {
      const leaving = [
        ...site.endpointsOf("engine").slice(0, 2),
        ...site.endpointsOf("retriever").slice(0, 1),
      ];
      await at(2);
      const listedAt = timer.now();
      await site.listAsLeaving(leaving);
      await at(2 + LISTED_ONLY_SECONDS);
      const lastRuns = leaving.map(({ id }) => site.executions.lastRunAt(id));
      const last = Math.max(...lastRuns.map((time) => time ?? 0));
      note({
        newWorkUntilSeconds: Math.round(last - listedAt) /
          MILLISECONDS_PER_SECOND,
      });
      await site.leave(leaving);
      await Promise.all(leaving.map(({ process }) => process.exited));
    },
  }),
};
