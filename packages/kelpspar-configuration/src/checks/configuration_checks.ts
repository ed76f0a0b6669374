import type { ConfigurationCheck } from "./configuration_check.ts";
import { checkAccounts } from "./check_accounts.ts";
import { checkDuplicates } from "./check_duplicates.ts";
import { checkModels } from "./check_models.ts";
import { checkReferences } from "./check_references.ts";

/** Every cross-check, in the order its problems are reported. */
export const CONFIGURATION_CHECKS: readonly ConfigurationCheck[] = [
  checkDuplicates,
  checkReferences,
  checkAccounts,
  checkModels,
];
