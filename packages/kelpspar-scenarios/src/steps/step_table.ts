import type { StepTable } from "../language/step_definition.ts";
import { ANSWER_ASSERTIONS } from "./answer_assertions.ts";
import { ASSERTION_STEPS } from "./assertion_steps.ts";
import { CONFIGURATION_ASSERTIONS } from "./configuration_assertions.ts";
import { DAEMON_FAULT_STEPS } from "./daemon_fault_steps.ts";
import { ENDPOINT_FAULT_STEPS } from "./endpoint_fault_steps.ts";
import { LEAVING_STEPS } from "./leaving_steps.ts";
import { LOAD_STEPS } from "./load_steps.ts";
import { OPERATOR_STEPS } from "./operator_steps.ts";
import { PLATFORM_FAULT_STEPS } from "./platform_fault_steps.ts";
import { SITE_STEPS } from "./site_steps.ts";

/** All steps, in the groups of docs/SCENARIOS.md. */
export const STEP_GROUPS: Readonly<Record<string, StepTable>> = {
  "Site and time": SITE_STEPS,
  "Load": LOAD_STEPS,
  "Daemons and connections": DAEMON_FAULT_STEPS,
  "The platform": PLATFORM_FAULT_STEPS,
  "Endpoints": ENDPOINT_FAULT_STEPS,
  "Leaving endpoints": LEAVING_STEPS,
  "Operators": OPERATOR_STEPS,
  "What must always hold": ASSERTION_STEPS,
  "The configuration": CONFIGURATION_ASSERTIONS,
  "Measures": ANSWER_ASSERTIONS,
};

/** All steps, by pattern. */
export const STEPS: StepTable = Object.assign(
  {},
  ...Object.values(STEP_GROUPS),
);
