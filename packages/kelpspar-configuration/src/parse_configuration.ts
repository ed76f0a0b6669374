import type { ConfigurationProblem } from "./problems/configuration_problem.ts";
import type { Configuration } from "./schema/configuration_schema.ts";
import { CONFIGURATION_CHECKS } from "./checks/configuration_checks.ts";
import { outlineConfiguration } from "./checks/configuration_outline.ts";
import { normalizeConfiguration } from "./normalize_configuration.ts";
import { toProblems } from "./problems/to_problems.ts";
import { configurationSchema } from "./schema/configuration_schema.ts";

/** A valid configuration, or all of its problems. */
export type ParsedConfiguration =
  | { readonly ok: true; readonly configuration: Configuration }
  | { readonly ok: false; readonly errors: readonly ConfigurationProblem[] };

/**
 * Validates a complete configuration, after its overlay was merged, and fills
 * in defaults. Reports all errors at once, both of the schema and of the
 * cross-checks. Never throws.
 */
export function parseConfiguration(value: unknown): ParsedConfiguration {
  const parsed = configurationSchema.safeParse(value);
  const outline = outlineConfiguration(value);
  const errors = [
    ...toProblems(parsed.error?.issues ?? []),
    ...CONFIGURATION_CHECKS.flatMap((check) => check(outline)),
  ];
  if (!parsed.success || errors.length > 0) return { ok: false, errors };
  return { ok: true, configuration: normalizeConfiguration(parsed.data) };
}
