import type { ConfigurationProblem } from "./problems/configuration_problem.ts";
import type { Configuration } from "./schema/configuration_schema.ts";
import { CONFIGURATION_CHECKS } from "./checks/configuration_checks.ts";
import { outlineConfiguration } from "./checks/configuration_outline.ts";
import { normalizeConfiguration } from "./normalize_configuration.ts";
import { toProblems } from "./problems/to_problems.ts";
import { configurationSchema } from "./schema/configuration_schema.ts";

/** A checked configuration, or everything that is wrong with it. */
export type ParsedConfiguration =
  | { readonly ok: true; readonly configuration: Configuration }
  | { readonly ok: false; readonly errors: readonly ConfigurationProblem[] };

/**
 * Checks a whole configuration, after its overlay was laid on. Reports every
 * error at once, those of the schema and those between parts, and fills in
 * defaults. Never throws.
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
