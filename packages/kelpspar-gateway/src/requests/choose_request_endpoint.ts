import type { EndpointState } from "../endpoints/endpoint_state.ts";
import type { EndpointChoice } from "../endpoints/choose_endpoint.ts";
import type { RequestRun } from "./request_run.ts";
import { chooseEndpoint } from "../endpoints/choose_endpoint.ts";
import { createChainReader } from "./create_chain_request.ts";
import { preferResumable } from "../streams/prefer_resumable.ts";
import { softwareOf } from "../streams/software_of.ts";
import { promptAffinity } from "./prompt_affinity.ts";

/** The endpoint that the coordinator chose, if it is usable. */
function placedEndpoint(
  run: RequestRun,
  tried: ReadonlySet<string>,
): EndpointChoice | undefined {
  const { place, options } = run;
  const { service } = options;
  if (place === undefined || tried.has(place.endpointId)) return undefined;
  const { endpointRegistry, rateLimiter, timer } = options.dependencies;
  const find = (id: string | undefined): EndpointState | undefined => {
    const found = id === undefined ? undefined : endpointRegistry.find(id);
    // Another service's endpoint may use the id by now.
    const isUsable = found?.entry.service === service &&
      found.isHealthy(timer.now());
    return isUsable ? found : undefined;
  };
  const endpoint = find(place.endpointId);
  if (endpoint === undefined || !mayContinue(run, endpoint)) return undefined;
  if (isWithheld(run, { endpoint, tried })) return undefined;
  // The coordinator may not have read the endpoint's limit yet, or may have an
  // older one than this daemon.
  const limit = rateLimiter.limitOf(endpoint, timer.now());
  const isWithinLimit = limit === undefined ||
    (place.limitPerSecond !== undefined && place.limitPerSecond <= limit);
  if (!isWithinLimit) return undefined;
  if (!options.dependencies.concurrency.mayStart(endpoint)) return undefined;
  // A failing prompt source would delay the request until its fetch times out.
  return {
    endpoint,
    home: find(place.promptSourceId),
    isPlaced: true,
  };
}

/** False if the request continues a stream of other software. */
export function mayContinue(
  { streamOrigin }: RequestRun,
  { entry }: EndpointState,
): boolean {
  if (streamOrigin === undefined) return true;
  const { service, version } = softwareOf(entry);
  return service === streamOrigin.service && version === streamOrigin.version;
}

/** False for software that other daemons may not know of yet. */
function isSettled(run: RequestRun, { entry }: EndpointState): boolean {
  const { streamOrigins } = run.options.dependencies;
  return streamOrigins.isSettled(softwareOf(entry));
}

/** True if the stream should begin at software that all daemons know of. */
function isWithheld(
  run: RequestRun,
  { endpoint, tried }: {
    readonly endpoint: EndpointState;
    readonly tried: ReadonlySet<string>;
  },
): boolean {
  if (!run.beginsResumableStream || isSettled(run, endpoint)) return false;
  const { endpointRegistry, timer } = run.options.dependencies;
  return endpointRegistry.availableFor(run.options.service).some((other) =>
    !tried.has(other.entry.id) && other.isHealthy(timer.now()) &&
    isSettled(run, other)
  );
}

/** Affinity key of the prompt, for services whose endpoints cache prompts. */
function affinityOf(run: RequestRun): string | undefined {
  const reader = createChainReader(run);
  return reader === undefined ? undefined : promptAffinity(reader.promptParts);
}

/** Chooses an untried endpoint for a request; undefined when none is left. */
export function chooseRequestEndpoint(
  run: RequestRun,
  tried: ReadonlySet<string>,
): EndpointChoice | undefined {
  return placedEndpoint(run, tried) ?? chooseLocally(run, tried);
}

function chooseLocally(
  run: RequestRun,
  tried: ReadonlySet<string>,
): EndpointChoice | undefined {
  const { dependencies, service } = run.options;
  const { endpointRegistry, rateLimiter } = dependencies;
  const now = dependencies.timer.now();
  const choose = (
    endpoints: readonly EndpointState[],
  ): EndpointChoice | undefined =>
    chooseEndpoint({
      endpoints,
      tried,
      zone: dependencies.zone,
      affinity: affinityOf(run),
      random: dependencies.random,
      now,
      isWithinLimit: (endpoint) =>
        rateLimiter.isWithinLimit(endpoint, now) &&
        dependencies.concurrency.mayStart(endpoint),
    });
  const chooseFirst = (
    groups: readonly (readonly EndpointState[])[],
  ): EndpointChoice | undefined => {
    for (const group of groups) {
      const choice = choose(preferResumable(group, now)) ?? choose(group);
      if (choice !== undefined) return choice;
    }
    return undefined;
  };
  const endpoints = endpointRegistry.availableFor(service).filter((endpoint) =>
    mayContinue(run, endpoint)
  );
  const choice = run.beginsResumableStream
    ? chooseFirst([
      endpoints.filter((endpoint) => isSettled(run, endpoint)),
      endpoints,
    ])
    : choose(endpoints);
  if (choice !== undefined) rateLimiter.recordRequest(choice.endpoint, now);
  return choice;
}
