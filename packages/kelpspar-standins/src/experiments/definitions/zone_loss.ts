import type { Experiment } from "../experiment.ts";
import { bothArms } from "../both_arms.ts";
import { ZONES } from "../site/create_site_plan.ts";

const VM_LIST_LAG_MILLISECONDS = 2_000;

/**
 * A zone goes with all that runs in it: a daemon, two engines of eight and one
 * endpoint of three of each service. The list tells two seconds later. Callers
 * whose answer broke send the request again.
 */
export const ZONE_LOSS: Experiment = {
  name: "zone-loss",
  question: "What does the loss of an availability zone cost?",
  runs: bothArms({
    site: { vmListLagMilliseconds: VM_LIST_LAG_MILLISECONDS },
    load: { requestsPerSecond: 80, seconds: 12 },
    callers: { resubmitsBroken: true, followsElsewhere: true },
    script: async ({ site, at }) => {
      const lost = ZONES.at(-1);
      const isLost = (one: { readonly availabilityZone: string }): boolean =>
        one.availabilityZone === lost;
      await at(3);
      await Promise.all([
        site.killDaemons(site.daemons.filter(isLost)),
        site.killEndpoints(site.endpoints.filter(isLost)),
      ]);
    },
  }),
};
