import type { TimerService } from "kelpspar-shared";
import type { ConfigurationKeeper } from "../configuration/configuration_keeper.ts";
import type { EndpointRateLimiter } from "../endpoints/endpoint_rate_limiter.ts";
import type { EndpointRegistry } from "../endpoints/endpoint_registry.ts";
import type { EndpointState } from "../endpoints/endpoint_state.ts";
import type { PieceResult } from "../pieces/chain_outcome.ts";
import type { PromptPart } from "../requests/serving_request.ts";
import type { ReaderCandidate } from "./choose_reader.ts";
import type { EndpointMemory } from "./endpoint_memory.ts";
import type { ChainReader, Placement } from "./reader_place.ts";
import { preferHealthy } from "../endpoints/prefer_healthy.ts";
import { promptAffinity } from "../requests/prompt_affinity.ts";
import { chooseReader } from "./choose_reader.ts";
import { likelyTokens } from "./likely_tokens.ts";
import { RendezvousNodes } from "kelpspar-decisions/routing";
import { ReaderLedger } from "./reader_ledger.ts";

/**
 * Memory that prompts keep beside requests that run: some ten of them with
 * 17,000 tokens each are three tenths of 550,000.
 */
const PROMPT_MEMORY_SHARE = 0.7;
const MILLISECONDS_PER_SECOND = 1_000;

/** What readers are placed with. */
export interface ReaderPlacementOptions {
  readonly configuration: ConfigurationKeeper;
  readonly book: EndpointRegistry;
  readonly gate: EndpointRateLimiter;
  readonly timer: TimerService;
}

/** An input of a request: where it lies and how large it is. */
export interface ReaderInput {
  readonly result: PieceResult;
  readonly bytes: number;
}

/** What an endpoint keeps of a prompt. */
interface PromptBelief {
  readonly endpoint: EndpointState;
  readonly heldTokens: number;
  readonly likelyTokens: number;
}

/** Places requests at model endpoints, for the daemons of all callers. */
export class ReaderPlacement {
  readonly #options: ReaderPlacementOptions;
  readonly #ledger = new ReaderLedger();

  constructor(options: ReaderPlacementOptions) {
    this.#options = options;
  }

  /** Subscribes to endpoints that are gone; returns the teardown. */
  register(): () => void {
    return this.#options.book.registerGone((id) =>
      this.#ledger.endpointGone(id)
    );
  }

  /** Decides where a request is to be read. */
  place(
    attemptId: string,
    reader: ChainReader,
    inputs: readonly ReaderInput[],
  ): Placement {
    const { book, gate, timer } = this.#options;
    const now = timer.now();
    const promptTokens = sumTokens(reader.promptParts);
    const all = book.availableFor(reader.service);
    const usable = preferHealthy(all, now);
    if (usable.length === 0) return { type: "no_endpoint" };
    const open = preferHealthy(
      all.filter((endpoint) => gate.isWithinLimit(endpoint, now)),
      now,
    );
    if (open.length === 0) {
      const waits = usable.map((endpoint) => gate.waitFor(endpoint, now));
      return { type: "over_limit", waitMilliseconds: Math.min(...waits) };
    }
    // Daemons choose those without limits themselves where no prompt matters.
    const limited = promptTokens > 0
      ? []
      : open.filter((one) => gate.limitOf(one, now) !== undefined);
    const choosable = limited.length > 0 ? limited : open;
    const beliefs = this.#beliefsOf(reader, choosable);
    const candidates = beliefs.map(
      ({ endpoint, ...tokens }): ReaderCandidate => {
        const { id, zone } = endpoint.entry;
        return {
          endpointId: id,
          waitingTokens: this.#ledger.waitingTokens(id, now),
          ...tokens,
          freeTokens: this.#memoryOf(reader, id).freeTokens,
          crossingBytes: crossingBytes(inputs, zone),
          slowness: Math.max(1, endpoint.slowness(now)),
        };
      },
    );
    const place = chooseReader({ candidates, promptTokens });
    const chosen = open.find((one) => one.entry.id === place?.endpointId);
    if (place === undefined || chosen === undefined) {
      return { type: "no_endpoint" };
    }
    const limitPerSecond = gate.limitOf(chosen, now);
    gate.recordRequest(chosen, now);
    const holderId = place.promptSourceId ?? place.endpointId;
    const kept = candidates.find((one) => one.endpointId === holderId)
      ?.heldTokens ?? 0;
    this.#ledger.placed(attemptId, {
      endpointId: place.endpointId,
      parts: reader.promptParts,
      tokens: promptTokens - kept,
      now,
    });
    return { type: "placed", place: { ...place, limitPerSecond } };
  }

  /**
   * Milliseconds until a request can be placed that comes after `ahead` others;
   * 0 while an endpoint of the service has no limit.
   */
  waitBehind(service: string, ahead: number): number {
    const { book, gate, timer } = this.#options;
    const now = timer.now();
    const usable = preferHealthy(book.availableFor(service), now);
    let perSecond = 0;
    for (const endpoint of usable) {
      const rate = gate.rateOf(endpoint, now);
      if (rate === undefined) return 0;
      perSecond += rate;
    }
    if (perSecond === 0) return 0;
    const first = Math.min(...usable.map((one) => gate.waitFor(one, now)));
    return first + ahead * MILLISECONDS_PER_SECOND / perSecond;
  }

  /**
   * Zone of the endpoint that keeps most of a request's prompt. Its results are
   * best made there, so that neither they nor the prompt have to move.
   */
  zoneOfHolder(reader: ChainReader | undefined): string | undefined {
    if (reader === undefined) return undefined;
    const { book, timer } = this.#options;
    const endpoints = preferHealthy(
      book.availableFor(reader.service),
      timer.now(),
    );
    let zone: string | undefined;
    let most = 0;
    for (const belief of this.#beliefsOf(reader, endpoints)) {
      const tokens = belief.heldTokens + belief.likelyTokens;
      if (tokens > most) [zone, most] = [belief.endpoint.entry.zone, tokens];
    }
    return zone;
  }

  /** What endpoints keep of a prompt, as far as that is known or likely. */
  #beliefsOf(
    reader: ChainReader,
    endpoints: readonly EndpointState[],
  ): readonly PromptBelief[] {
    const now = this.#options.timer.now();
    const shared = reader.promptParts.slice(0, -1);
    const sharedTokens = sumTokens(shared);
    const homeId = homeOf(reader, endpoints);
    const held = endpoints.map((endpoint) =>
      this.#memoryOf(reader, endpoint.entry.id).heldTokens(shared, now)
    );
    const mostHeldTokens = Math.max(0, ...held);
    return endpoints.map((endpoint, index) => ({
      endpoint,
      heldTokens: held[index] ?? 0,
      likelyTokens: likelyTokens({
        isHome: endpoint.entry.id === homeId,
        sharedTokens,
        mostHeldTokens,
      }),
    }));
  }

  #memoryOf({ service }: ChainReader, endpointId: string): EndpointMemory {
    return this.#ledger.memoryOf(endpointId, this.#capacityOf(service));
  }

  /** Memory of one endpoint of a service for prompts, tokens. */
  #capacityOf(service: string): number {
    const { table } = this.#options.configuration;
    const tokens = table?.findService(service)?.engineTokens;
    return tokens === undefined
      ? Number.POSITIVE_INFINITY
      : tokens * PROMPT_MEMORY_SHARE;
  }

  /** Says that a request was read, or won't be. */
  ended(attemptId: string): void {
    this.#ledger.ended(attemptId);
  }
}

function sumTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}

/** The endpoint that a prompt goes to while nobody is known to keep it. */
function homeOf(
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
