import type { Experiment } from "../experiment.ts";
import { bothArms } from "../both_arms.ts";
import { LARGE_ACCOUNT } from "../load/load_plan.ts";

const LOAD_FACTOR = 10;
/** Low, so that the engines limit the run and not the host. */
const ENGINE_COUNT = 4;

/** Only the large account sends ten times its share. */
export const HEAVY_ACCOUNT: Experiment = {
  name: "heavy-account",
  question: "Do the others keep their attainment beside a heavy account?",
  runs: bothArms({
    site: { engines: ENGINE_COUNT },
    load: {
      requestsPerSecond: 40,
      factor: (account, seconds) =>
        account === LARGE_ACCOUNT && seconds >= 0 ? LOAD_FACTOR : 1,
    },
  }),
};
