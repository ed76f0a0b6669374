import type { Experiment } from "../experiment.ts";
import { bothArms } from "../both_arms.ts";

const SLOW_FACTOR = 10;

/** One engine and one retriever are slowed down tenfold; later they recover. */
export const SLOW_ENDPOINT: Experiment = {
  name: "slow-endpoint",
  question: "How soon are slow endpoints avoided, and used again?",
  runs: bothArms({
    load: { seconds: 14 },
    script: async ({ site, at }) => {
      const slow = [
        ...site.endpointsOf("engine").slice(0, 1),
        ...site.endpointsOf("retriever").slice(0, 1),
      ];
      await at(2);
      for (const endpoint of slow) {
        await site.faults.setEndpoint(endpoint, { slowFactor: SLOW_FACTOR });
      }
      await at(10);
      for (const endpoint of slow) {
        await site.faults.setEndpoint(endpoint, { slowFactor: 1 });
      }
    },
  }),
};
