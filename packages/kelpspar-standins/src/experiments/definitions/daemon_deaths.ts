import type { Experiment } from "../experiment.ts";
import { bothArms } from "../both_arms.ts";

/** Long enough that some deaths fall into a once-stage. */
const ONCE_MILLISECONDS = 120;

/**
 * Two of three daemons die without warning, one after the other, and are
 * replaced. Callers whose answer broke send the request again under its key.
 */
export const DAEMON_DEATHS: Experiment = {
  name: "daemon-deaths",
  question: "What do callers lose when daemons die, and does anything double?",
  runs: bothArms({
    site: { onceMilliseconds: ONCE_MILLISECONDS },
    load: { seconds: 12, onceShare: 0.5 },
    callers: { resubmitsBroken: true, followsElsewhere: true },
    script: async ({ site, at }) => {
      for (const seconds of [2, 7]) {
        await at(seconds);
        await site.killDaemons(site.daemons.slice(0, 1));
        await site.addDaemon();
      }
    },
  }),
};
