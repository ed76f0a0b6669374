import type { ConfigurationCheck } from "./configuration_check.ts";
import { checkAccounts } from "./check_accounts.ts";
import { checkDuplicates } from "./check_duplicates.ts";
import { checkModels } from "./check_models.ts";
import { checkReferences } from "./check_references.ts";

/** All cross-checks, in the order in which their problems are reported. */
export const CONFIGURATION_CHECKS: readonly ConfigurationCheck[] = [
  checkDuplicates,
  checkReferences,
  checkAccounts,
  checkModels,
];
