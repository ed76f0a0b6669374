import type { PromptPart } from "./serving_request.ts";

/** Parts named in a log line at most. */
const MAXIMUM_DESCRIBED_PARTS = 16;

/**
 * Returns the ids of a prompt's parts for the log, the last part included;
 * undefined for a request without a prompt.
 */
export function describePromptParts(
  parts: readonly PromptPart[],
): string | undefined {
  if (parts.length === 0) return undefined;
  return parts.slice(0, MAXIMUM_DESCRIBED_PARTS).map(({ id }) => id).join(",");
}
