import type { Experiment } from "../experiment.ts";
import { bothArms } from "../both_arms.ts";
import { LARGE_ACCOUNT } from "../load/load_plan.ts";

const FACTOR = 10;
/** Few, so that the machine is not what limits a run. */
const ENGINES = 4;

/** The large account alone asks for ten times its share. */
export const HEAVY_ACCOUNT: Experiment = {
  name: "heavy-account",
  question: "Do the others keep their attainment beside a heavy account?",
  runs: bothArms({
    site: { engines: ENGINES },
    load: {
      requestsPerSecond: 40,
      factor: (account, seconds) =>
        account === LARGE_ACCOUNT && seconds >= 0 ? FACTOR : 1,
    },
  }),
};
