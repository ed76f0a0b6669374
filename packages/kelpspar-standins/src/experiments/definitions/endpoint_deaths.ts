import type { Experiment } from "../experiment.ts";
import { bothArms } from "../both_arms.ts";
import { SERVICES } from "../site/experiment_services.ts";

const VM_LIST_LAG_MILLISECONDS = 2_000;

/**
 * Two engines and one endpoint of each other service are killed without
 * warning, one after the other. The VM list shows it two seconds later, and each
 * endpoint is replaced.
 */
export const ENDPOINT_DEATHS: Experiment = {
  name: "endpoint-deaths",
  question: "What does the death of endpoints cost?",
  runs: bothArms({
    site: { vmListLagMilliseconds: VM_LIST_LAG_MILLISECONDS },
    load: { seconds: 14 },
    script: async ({ site, at }) => {
      const victims = ["engine", ...SERVICES];
      for (const [index, service] of victims.entries()) {
        await at(1 + index * 2);
        const [victim] = site.endpointsOf(service);
        if (victim === undefined) continue;
        await site.killEndpoints([victim]);
        await site.addEndpoint(service);
      }
    },
  }),
};
