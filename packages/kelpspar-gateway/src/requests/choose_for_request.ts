import type { EndpointState } from "../endpoints/endpoint_state.ts";
import type { EndpointChoice } from "../endpoints/choose_endpoint.ts";
import type { RequestRun } from "./request_run.ts";
import { chooseEndpoint } from "../endpoints/choose_endpoint.ts";
import { readerOf } from "./chain_of_request.ts";
import { promptAffinity } from "./prompt_affinity.ts";

/** The endpoint at which the request was placed, while it may be used. */
function placedEndpoint(
  run: RequestRun,
  tried: ReadonlySet<string>,
): EndpointChoice | undefined {
  const { place, options } = run;
  if (place === undefined || tried.has(place.endpointId)) return undefined;
  const { book, gate, timer } = options.parts;
  const find = (id: string | undefined): EndpointState | undefined => {
    const found = id === undefined ? undefined : book.find(id);
    return found?.isHealthy(timer.now()) === true ? found : undefined;
  };
  const endpoint = find(place.endpointId);
  if (endpoint === undefined) return undefined;
  // The coordinator may not know yet what the endpoint names, or may have less
  // recent word of it than this daemon.
  const limit = gate.limitOf(endpoint, timer.now());
  const isWithin = limit === undefined ||
    (place.limitPerSecond !== undefined && place.limitPerSecond <= limit);
  if (!isWithin) return undefined;
  // A source that fails here would hold the request until the fetch gives up.
  return {
    endpoint,
    home: find(place.promptSourceId),
    isPlaced: true,
  };
}

/** What requests with the same prompt share, where endpoints keep prompts. */
function affinityOf(run: RequestRun): string | undefined {
  const reader = readerOf(run);
  return reader === undefined ? undefined : promptAffinity(reader.promptParts);
}

/** The endpoint for a request now; undefined when none is left to try. */
export function chooseForRequest(
  run: RequestRun,
  tried: ReadonlySet<string>,
): EndpointChoice | undefined {
  return placedEndpoint(run, tried) ?? ownChoice(run, tried);
}

function ownChoice(
  run: RequestRun,
  tried: ReadonlySet<string>,
): EndpointChoice | undefined {
  const { parts, service } = run.options;
  const { book, gate } = parts;
  const now = parts.timer.now();
  const choice = chooseEndpoint({
    endpoints: book.availableFor(service),
    tried,
    zone: parts.zone,
    affinity: affinityOf(run),
    random: parts.random,
    now,
    isWithinLimit: (endpoint) => gate.isWithinLimit(endpoint, now),
  });
  if (choice !== undefined) gate.recordRequest(choice.endpoint, now);
  return choice;
}
