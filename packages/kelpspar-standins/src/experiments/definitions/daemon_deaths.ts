import type { Experiment } from "../experiment.ts";
import { bothArms } from "../both_arms.ts";

/** Long enough that daemons are killed during some once-stages. */
const ONCE_MILLISECONDS = 120;

/**
 * Two of three daemons are killed without warning, one after the other, and
 * replaced. Callers resubmit a request whose answer broke off, under the same
 * key.
 */
export const DAEMON_DEATHS: Experiment = {
  name: "daemon-deaths",
  question: "What do callers lose when daemons die, and does anything double?",
  runs: bothArms({
    site: { onceMilliseconds: ONCE_MILLISECONDS },
    load: { seconds: 12, onceShare: 0.5 },
    callers: { resubmitsCut: true, followsElsewhere: true },
    script: async ({ site, at }) => {
      for (const seconds of [2, 7]) {
        await at(seconds);
        await site.killDaemons(site.daemons.slice(0, 1));
        await site.addDaemon();
      }
    },
  }),
};
