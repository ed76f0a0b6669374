import type { PromptPart } from "../requests/serving_request.ts";
import { PromptCache } from "./prompt_cache.ts";

/** How long a placed request counts as waiting if its end isn't reported. */
const MAX_WAITING_MILLISECONDS = 3_000;

/** A request that was placed at an endpoint and not yet read. */
export interface WaitingRead {
  readonly endpointId: string;
  readonly tokens: number;
  readonly placedAt: number;
}

/**
 * Tracks the requests placed at model endpoints and the prompts that they have
 * cached. Based on this daemon's placements and other daemons' reports, not on
 * the endpoints' own reports: those are some hundred milliseconds old, enough
 * for a burst to send everything to one endpoint.
 */
export class ReaderTracker {
  readonly #waiting = new Map<string, WaitingRead>();
  /** The same by endpoint. */
  readonly #waitingAt = new Map<string, Map<string, WaitingRead>>();
  readonly #promptCaches = new Map<string, PromptCache>();

  /**
   * Prompt tokens that an endpoint has not read yet. Each placement asks this
   * of every endpoint, so only that endpoint's requests are visited: under
   * overload, hundreds wait.
   */
  waitingTokens(endpointId: string, now: number): number {
    let tokens = 0;
    for (const [attemptId, read] of this.#waitingAt.get(endpointId) ?? []) {
      if (now - read.placedAt > MAX_WAITING_MILLISECONDS) {
        this.#remove(attemptId);
      } else tokens += read.tokens;
    }
    return tokens;
  }

  /**
   * Prompt cache of an endpoint; `capacity` in tokens, used only when the cache
   * is created.
   */
  promptCacheOf(endpointId: string, capacity: number): PromptCache {
    const known = this.#promptCaches.get(endpointId);
    if (known !== undefined) return known;
    const cache = new PromptCache(capacity);
    this.#promptCaches.set(endpointId, cache);
    return cache;
  }

  /** Records that a request was placed at an endpoint. */
  recordPlacement(
    attemptId: string,
    options: {
      readonly endpointId: string;
      readonly parts: readonly PromptPart[];
      /** Tokens that the endpoint has to read itself. */
      readonly tokens: number;
      readonly now: number;
    },
  ): void {
    const { endpointId, parts, tokens, now } = options;
    this.#remove(attemptId);
    const read = { endpointId, tokens, placedAt: now };
    this.#waiting.set(attemptId, read);
    const ofEndpoint = this.#waitingAt.get(endpointId) ?? new Map();
    this.#waitingAt.set(endpointId, ofEndpoint.set(attemptId, read));
    this.#promptCaches.get(endpointId)?.recordUse(parts, now);
  }

  /** Records that a request was read, or won't be; returns it if known. */
  recordEnd(attemptId: string): WaitingRead | undefined {
    return this.#remove(attemptId);
  }

  /** Drops an endpoint's state: its cache is empty after a restart. */
  endpointGone(endpointId: string): void {
    this.#promptCaches.delete(endpointId);
    const waiting = [...this.#waitingAt.get(endpointId)?.keys() ?? []];
    for (const attemptId of waiting) this.#remove(attemptId);
    this.#waitingAt.delete(endpointId);
  }

  #remove(attemptId: string): WaitingRead | undefined {
    const read = this.#waiting.get(attemptId);
    if (read === undefined) return undefined;
    this.#waiting.delete(attemptId);
    this.#waitingAt.get(read.endpointId)?.delete(attemptId);
    return read;
  }
}
