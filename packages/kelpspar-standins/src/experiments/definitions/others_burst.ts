import type { Experiment } from "../experiment.ts";
import { bothArms } from "../both_arms.ts";
import { LARGE_ACCOUNT } from "../load/load_plan.ts";

const BURST_FACTOR = 8;
/** Low, so that the engines limit the run and not the host. */
const ENGINE_COUNT = 4;
const BURST_BEGINS_SECONDS = 2;
const BURST_ENDS_SECONDS = 7;

/** All small accounts burst at the same time. */
export const OTHERS_BURST: Experiment = {
  name: "others-burst",
  question: "Does the large account keep its share while the others burst?",
  runs: bothArms({
    site: { engines: ENGINE_COUNT },
    load: {
      requestsPerSecond: 50,
      factor: (account, seconds) => {
        const isBurst = seconds >= BURST_BEGINS_SECONDS &&
          seconds < BURST_ENDS_SECONDS;
        return account !== LARGE_ACCOUNT && isBurst ? BURST_FACTOR : 1;
      },
    },
  }),
};
