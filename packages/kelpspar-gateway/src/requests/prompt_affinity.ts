import type { PromptPart } from "./serving_request.ts";

/**
 * What requests that share a prompt have in common: the longest part that is
 * not the request's own, by its place at the end of the shared ones. Undefined
 * when nothing is shared.
 */
export function promptAffinity(
  parts: readonly PromptPart[],
): string | undefined {
  return parts.at(-2)?.id;
}
