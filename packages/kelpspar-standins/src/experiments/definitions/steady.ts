import type { Experiment } from "../experiment.ts";
import { bothArms } from "../both_arms.ts";

/** Nothing fails and everybody keeps to the share. */
export const STEADY: Experiment = {
  name: "steady",
  question: "What does a healthy fleet attain, and at what cost?",
  runs: bothArms({}),
};
