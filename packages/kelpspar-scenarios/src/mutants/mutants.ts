import type { Mutant } from "./mutant.ts";
import { CLAIM_MUTANTS } from "./claim_mutants.ts";
import { CONFIGURATION_MUTANTS } from "./configuration_mutants.ts";
import { LEAVING_MUTANTS } from "./leaving_mutants.ts";
import { RECORD_MUTANTS } from "./record_mutants.ts";
import { REFUSAL_MUTANTS } from "./refusal_mutants.ts";
import { SHARE_MUTANTS } from "./share_mutants.ts";
import { STOP_MUTANTS } from "./stop_mutants.ts";
import { FAULT_TOLERANCE_MUTANTS } from "./fault_tolerance_mutants.ts";

/** All mutants, each of which disables one safeguard. */
export const MUTANTS: readonly Mutant[] = [
  ...RECORD_MUTANTS,
  ...REFUSAL_MUTANTS,
  ...CLAIM_MUTANTS,
  ...LEAVING_MUTANTS,
  ...STOP_MUTANTS,
  ...CONFIGURATION_MUTANTS,
  ...SHARE_MUTANTS,
  ...FAULT_TOLERANCE_MUTANTS,
];
