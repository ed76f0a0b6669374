import type { Experiment } from "../experiment.ts";
import { bothArms } from "../both_arms.ts";

const SLOW_FACTOR = 10;

/**
 * Five faults in one run: a slow engine, lost write answers, the death of an
 * engine and a retriever, silent connections with an outage of the table, and
 * the death of a daemon. Callers resubmit a request whose answer broke off.
 */
export const EVERYTHING: Experiment = {
  name: "everything",
  question: "What holds when five faults come together?",
  runs: bothArms({
    site: { onceMilliseconds: 120 },
    load: { requestsPerSecond: 80, seconds: 14, onceShare: 0.4 },
    callers: { resubmitsCut: true, followsElsewhere: true },
    script: async ({ site, at }) => {
      await at(1);
      for (const slow of site.endpointsOf("engine").slice(0, 1)) {
        await site.faults.setEndpoint(slow, { slowFactor: SLOW_FACTOR });
      }
      await site.faults.setTable({ loseAnswerShare: 0.1, lostAnswer: "hang" });
      await at(3);
      await site.killEndpoints([
        ...site.endpointsOf("engine").slice(1, 2),
        ...site.endpointsOf("retriever").slice(0, 1),
      ]);
      await at(5);
      await site.faults.silence(site.endpoints);
      await site.faults.setTable({ outage: "hang" });
      await at(7);
      await site.faults.setTable({ outage: "none" });
      await at(8);
      await site.killDaemons(site.daemons.slice(0, 1));
      await site.addDaemon();
      await site.addEndpoint("engine");
      await site.addEndpoint("retriever");
    },
  }),
};
