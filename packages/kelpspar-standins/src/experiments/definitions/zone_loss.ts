import type { Experiment } from "../experiment.ts";
import { bothArms } from "../both_arms.ts";
import { ZONES } from "../site/create_site_plan.ts";

const VM_LIST_LAG_MILLISECONDS = 2_000;

/**
 * A zone fails with everything in it: a daemon, two of eight engines and one of
 * three endpoints of each other service. The VM list shows it two seconds later.
 * Callers resubmit a request whose answer broke off.
 */
export const ZONE_LOSS: Experiment = {
  name: "zone-loss",
  question: "What does the loss of an availability zone cost?",
  runs: bothArms({
    site: { vmListLagMilliseconds: VM_LIST_LAG_MILLISECONDS },
    load: { requestsPerSecond: 80, seconds: 12 },
    callers: { resubmitsCut: true, followsElsewhere: true },
    script: async ({ site, at }) => {
      const lost = ZONES.at(-1);
      const isLost = (vm: { readonly availabilityZone: string }): boolean =>
        vm.availabilityZone === lost;
      await at(3);
      await Promise.all([
        site.killDaemons(site.daemons.filter(isLost)),
        site.killEndpoints(site.endpoints.filter(isLost)),
      ]);
    },
  }),
};
