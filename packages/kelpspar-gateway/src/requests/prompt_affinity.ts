import type { PromptPart } from "./serving_request.ts";

/**
 * Affinity key of requests that share a prompt: the id of the last shared part,
 * which precedes the request's own part. Undefined when nothing is shared.
 */
export function promptAffinity(
  parts: readonly PromptPart[],
): string | undefined {
  return parts.at(-2)?.id;
}
