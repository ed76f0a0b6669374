import type { Experiment } from "../experiment.ts";
import { bothArms } from "../both_arms.ts";

/** No faults, and every account stays within its share. */
export const STEADY: Experiment = {
  name: "steady",
  question: "What does a healthy fleet attain, and at what cost?",
  runs: bothArms({}),
};
