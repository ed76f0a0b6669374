import type { PromptPart } from "./serving_request.ts";

/** Parts that are considered at most; the first ones are shared the most. */
const MAXIMUM_SHARED_PARTS = 32;

/**
 * Returns the ids of the parts that other requests may share: all but the last,
 * which belongs to the request or its session.
 */
export function sharedParts(parts: readonly PromptPart[]): readonly string[] {
  return parts.slice(0, -1).slice(0, MAXIMUM_SHARED_PARTS).map(({ id }) => id);
}
