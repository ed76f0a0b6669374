import type { Experiment } from "../experiment.ts";
import { bothArms } from "../both_arms.ts";

const FACTORS = [1, 2, 4] as const;
/** Few, so that the machine is not what limits a run. */
const ENGINES = 4;
/** What these can do at most is about 78 requests a second. */
const REQUESTS_PER_SECOND = 60;

/** All accounts ask for more than there is, in the proportion of shares. */
export const OVERLOAD: Experiment = {
  name: "overload",
  question: "Does goodput hold at one, two and four times the load?",
  runs: FACTORS.flatMap((factor) =>
    bothArms({
      variant: `${factor}x`,
      site: { engines: ENGINES },
      load: { requestsPerSecond: REQUESTS_PER_SECOND * factor, seconds: 8 },
    })
  ),
};
