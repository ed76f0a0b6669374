import type { TimerService } from "kelpspar-shared";
import type { ActiveConfiguration } from "../configuration/active_configuration.ts";
import type { EndpointRateLimiter } from "../endpoints/endpoint_rate_limiter.ts";
import type { EndpointRegistry } from "../endpoints/endpoint_registry.ts";
import type { EndpointState } from "../endpoints/endpoint_state.ts";
import type { ReleaseLoad } from "../load/release_load.ts";
import type { PieceResult } from "../pieces/chain_outcome.ts";
import type { PromptPart } from "../requests/serving_request.ts";
import type { ReaderCandidate } from "./choose_reader.ts";
import type { PromptCache } from "./prompt_cache.ts";
import type { ChainReader, Placement } from "./reader_place.ts";
import { learnRead } from "../load/learn_read.ts";
import { preferHealthy } from "../endpoints/prefer_healthy.ts";
import { promptAffinity } from "../requests/prompt_affinity.ts";
import { chooseReader } from "./choose_reader.ts";
import { softwareOf } from "../streams/software_of.ts";
import { likelyTokens } from "./likely_tokens.ts";
import { RendezvousNodes } from "kelpspar-decisions/routing";
import { ReaderTracker } from "./reader_tracker.ts";

/**
 * Share of an endpoint's memory left for cached prompts beside running
 * requests: some ten of those with 17,000 tokens each take three tenths of
 * 550,000.
 */
const PROMPT_MEMORY_SHARE = 0.7;
const MILLISECONDS_PER_SECOND = 1_000;

/** Dependencies of `ReaderPlacement`. */
export interface ReaderPlacementOptions {
  readonly configuration: ActiveConfiguration;
  readonly registry: EndpointRegistry;
  readonly rateLimiter: EndpointRateLimiter;
  readonly timer: TimerService;
}

/** An input of a request: its location and size. */
export interface ReaderInput {
  readonly result: PieceResult;
  readonly bytes: number;
}

/** Estimate of a prompt's tokens in an endpoint's prompt cache. */
interface CacheEstimate {
  readonly endpoint: EndpointState;
  readonly cachedTokens: number;
  readonly likelyCachedTokens: number;
}

/** Places requests at model endpoints, for all daemons. */
export class ReaderPlacement {
  readonly #options: ReaderPlacementOptions;
  readonly #tracker = new ReaderTracker();

  constructor(options: ReaderPlacementOptions) {
    this.#options = options;
  }

  /** Subscribes to the removal of endpoints; returns the teardown. */
  register(): () => void {
    return this.#options.registry.registerGone((id) =>
      this.#tracker.endpointGone(id)
    );
  }

  /** Chooses the endpoint that reads a request. */
  place(
    attemptId: string,
    reader: ChainReader,
    inputs: readonly ReaderInput[],
  ): Placement {
    const { registry, rateLimiter, timer } = this.#options;
    const now = timer.now();
    const promptTokens = sumTokens(reader.promptParts);
    const all = registry.availableFor(reader.service).filter(({ entry }) =>
      reader.version === undefined ||
      softwareOf(entry).version === reader.version
    );
    const usable = preferHealthy(all, now);
    if (usable.length === 0) return { type: "no_endpoint" };
    const open = preferHealthy(
      all.filter((endpoint) => rateLimiter.isWithinLimit(endpoint, now)),
      now,
    );
    if (open.length === 0) {
      const waits = usable.map((endpoint) =>
        rateLimiter.waitFor(endpoint, now)
      );
      return { type: "over_limit", waitMilliseconds: Math.min(...waits) };
    }
    // Without a prompt, daemons choose endpoints without limits themselves.
    const limited = promptTokens > 0
      ? []
      : open.filter((endpoint) =>
        rateLimiter.limitOf(endpoint, now) !== undefined
      );
    const selectable = limited.length > 0 ? limited : open;
    const estimates = this.#estimateCaches(reader, selectable);
    const candidates = estimates.map(
      ({ endpoint, ...tokens }): ReaderCandidate => {
        const { id, zone } = endpoint.entry;
        return {
          endpointId: id,
          waitingTokens: this.#waitingTokens(endpoint, promptTokens),
          ...tokens,
          freeTokens: this.#promptCacheOf(reader, id).freeTokens,
          crossingBytes: crossingBytes(inputs, zone),
          slowness: endpoint.load.isActive
            ? endpoint.load.slowness(now)
            : Math.max(1, endpoint.slowness(now)),
        };
      },
    );
    const place = chooseReader({ candidates, promptTokens });
    const chosen = open.find((one) => one.entry.id === place?.endpointId);
    if (place === undefined || chosen === undefined) {
      return { type: "no_endpoint" };
    }
    const limitPerSecond = rateLimiter.limitOf(chosen, now);
    rateLimiter.recordRequest(chosen, now);
    const cachedAt = place.promptSourceId ?? place.endpointId;
    const cached = candidates.find((one) => one.endpointId === cachedAt)
      ?.cachedTokens ?? 0;
    this.#tracker.recordPlacement(attemptId, {
      endpointId: place.endpointId,
      parts: reader.promptParts,
      tokens: promptTokens - cached,
      now,
    });
    return { type: "placed", place: { ...place, limitPerSecond } };
  }

  /**
   * Milliseconds until a request behind `ahead()` others can be placed; 0 while
   * any endpoint of the service has no limit.
   */
  queueWait(service: string, ahead: () => number): number {
    const { registry, rateLimiter, timer } = this.#options;
    const now = timer.now();
    const usable = preferHealthy(registry.availableFor(service), now);
    let perSecond = 0;
    for (const endpoint of usable) {
      const rate = rateLimiter.rateOf(endpoint, now);
      if (rate === undefined) return 0;
      perSecond += rate;
    }
    if (perSecond === 0) return 0;
    const first = Math.min(
      ...usable.map((one) => rateLimiter.waitFor(one, now)),
    );
    return first + ahead() * MILLISECONDS_PER_SECOND / perSecond;
  }

  /**
   * Zone of the endpoint that has cached most of a request's prompt. Making the
   * stage results in that zone avoids moving either them or the prompt.
   */
  zoneOfCachedPrompt(reader: ChainReader | undefined): string | undefined {
    if (reader === undefined) return undefined;
    const { registry, timer } = this.#options;
    const endpoints = preferHealthy(
      registry.availableFor(reader.service),
      timer.now(),
    );
    let zone: string | undefined;
    let most = 0;
    for (const estimate of this.#estimateCaches(reader, endpoints)) {
      const tokens = estimate.cachedTokens + estimate.likelyCachedTokens;
      if (tokens > most) [zone, most] = [estimate.endpoint.entry.zone, tokens];
    }
    return zone;
  }

  /** Estimates how much of a prompt each endpoint has cached. */
  #estimateCaches(
    reader: ChainReader,
    endpoints: readonly EndpointState[],
  ): readonly CacheEstimate[] {
    const now = this.#options.timer.now();
    const shared = reader.promptParts.slice(0, -1);
    const sharedTokens = sumTokens(shared);
    const homeId = homeEndpointId(reader, endpoints);
    const cached = endpoints.map((endpoint) =>
      this.#promptCacheOf(reader, endpoint.entry.id).cachedTokens(shared, now)
    );
    const maxCachedTokens = Math.max(0, ...cached);
    return endpoints.map((endpoint, index) => ({
      endpoint,
      cachedTokens: cached[index] ?? 0,
      likelyCachedTokens: likelyTokens({
        isHome: endpoint.entry.id === homeId,
        sharedTokens,
        maxCachedTokens,
      }),
    }));
  }

  #promptCacheOf({ service }: ChainReader, endpointId: string): PromptCache {
    return this.#tracker.promptCacheOf(endpointId, this.#capacityOf(service));
  }

  /** Prompt cache capacity of one endpoint of a service, tokens. */
  #capacityOf(service: string): number {
    const { table } = this.#options.configuration;
    const tokens = table?.findService(service)?.engineTokens;
    return tokens === undefined
      ? Number.POSITIVE_INFINITY
      : tokens * PROMPT_MEMORY_SHARE;
  }

  /**
   * Prompt tokens that an endpoint reads before a new request: those placed
   * here, or, if that is more, those of the requests that it reports as waiting.
   * A new coordinator knows the latter only.
   */
  #waitingTokens(endpoint: EndpointState, promptTokens: number): number {
    const { load, entry } = endpoint;
    const now = this.#options.timer.now();
    const placed = this.#tracker.waitingTokens(entry.id, now);
    return load.isActive
      ? Math.max(placed, load.expectedWaiting(now) * promptTokens)
      : placed;
  }

  /** Records that a request was read, or won't be. */
  recordEnd(attemptId: string, load?: ReleaseLoad): void {
    const read = this.#tracker.recordEnd(attemptId);
    if (load === undefined) return;
    const state = this.#options.registry.find(load.endpointId);
    if (state?.entry.bornAt !== load.bornAt) return;
    const now = this.#options.timer.now();
    const { running, waiting, slots, slowdown } = load;
    const report = { running, waiting, slots, slowdown };
    state.load.record(report, now - load.ageMilliseconds);
    if (read?.endpointId !== load.endpointId || waiting > 0) return;
    learnRead(state.load, {
      tokens: read.tokens,
      milliseconds: load.firstByteMilliseconds,
      now,
    });
  }
}

function sumTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}

/** Endpoint that reads a prompt first while no endpoint is known to cache it. */
function homeEndpointId(
  { promptParts }: ChainReader,
  endpoints: readonly EndpointState[],
): string | undefined {
  const affinity = promptAffinity(promptParts);
  if (affinity === undefined) return undefined;
  return new RendezvousNodes(endpoints.map(({ entry }) => entry.id))
    .best(affinity, 1)[0];
}

function crossingBytes(inputs: readonly ReaderInput[], zone: string): number {
  return inputs.reduce(
    (sum, { result, bytes }) => result.makerZone === zone ? sum : sum + bytes,
    0,
  );
}
