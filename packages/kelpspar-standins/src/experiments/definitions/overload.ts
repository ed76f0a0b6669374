import type { Experiment } from "../experiment.ts";
import { bothArms } from "../both_arms.ts";

const LOAD_FACTORS = [1, 2, 4] as const;
/** Low, so that the engines limit the run and not the host. */
const ENGINE_COUNT = 4;
/** The capacity of these engines is about 78 requests per second. */
const REQUESTS_PER_SECOND = 60;

/** All accounts exceed the capacity, in proportion to their shares. */
export const OVERLOAD: Experiment = {
  name: "overload",
  question: "Does goodput hold at one, two and four times the load?",
  runs: LOAD_FACTORS.flatMap((factor) =>
    bothArms({
      variant: `${factor}x`,
      site: { engines: ENGINE_COUNT },
      load: { requestsPerSecond: REQUESTS_PER_SECOND * factor, seconds: 8 },
    })
  ),
};
