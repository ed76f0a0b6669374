import type { ResultName } from "./result_codes.ts";
import { KelpsparError } from "./kelpspar_error.ts";

/**
 * Gives any thrown value a result code: errors that have one keep it, all
 * others become `fallback`.
 */
export function toKelpsparError(
  thrown: unknown,
  fallback: ResultName = "internal_error",
): KelpsparError {
  if (thrown instanceof KelpsparError) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return new KelpsparError(fallback, message, { cause: thrown });
}
