import type { ResultName } from "./result_codes.ts";
import { KelpsparError } from "./kelpspar_error.ts";

/**
 * Converts any thrown value to a KelpsparError. A KelpsparError is returned
 * unchanged; other values get the result code `fallback`.
 */
export function toKelpsparError(
  thrown: unknown,
  fallback: ResultName = "internal_error",
): KelpsparError {
  if (thrown instanceof KelpsparError) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return new KelpsparError(fallback, message, { cause: thrown });
}
