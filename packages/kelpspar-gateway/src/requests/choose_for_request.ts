import type { EndpointChoice } from "../endpoints/choose_endpoint.ts";
import type { RequestRun } from "./request_run.ts";
import { chooseEndpoint } from "../endpoints/choose_endpoint.ts";
import { promptAffinity } from "./prompt_affinity.ts";

/** What requests with the same prompt share, where endpoints keep prompts. */
export function affinityOf(run: RequestRun): string | undefined {
  const { parts, service, request } = run.options;
  const isModel = parts.configuration.table?.findService(service)
    ?.engineSlots !== undefined;
  return isModel ? promptAffinity(request.promptParts) : undefined;
}

/** The endpoint for a request now; undefined when none is left to try. */
export function chooseForRequest(
  run: RequestRun,
  tried: ReadonlySet<string>,
): EndpointChoice | undefined {
  const { parts, service } = run.options;
  return chooseEndpoint({
    endpoints: parts.book.ofService(service),
    tried,
    zone: parts.zone,
    affinity: affinityOf(run),
    random: parts.random,
    now: parts.timer.now(),
  });
}
