import type { PromptPart } from "../requests/serving_request.ts";
import type { ReaderPlace } from "./reader_place.ts";

/**
 * How long an endpoint is taken to keep a prompt after its last use,
 * milliseconds. Endpoints drop the least recently used; with 350,000 tokens of
 * memory and 6,000 new ones a second a part stays for most of a minute, in a
 * burst for half of one.
 */
const KEPT_MILLISECONDS = 15_000;
/** A request whose reading nobody reported counts so long, milliseconds. */
const WAITING_MILLISECONDS = 3_000;
/** Parts remembered; the one used longest ago is forgotten first. */
const MOST_PARTS = 5_000;

interface WaitingRead {
  readonly endpointId: string;
  readonly tokens: number;
  readonly placedAt: number;
}

/**
 * What model endpoints were given to read, and which prompts they keep. It is
 * what this daemon told them and others reported, not the endpoints' own word:
 * that is some hundred milliseconds old, in which a burst sends all to one.
 */
export class ReaderLedger {
  readonly #waiting = new Map<string, WaitingRead>();
  /** When a part of a prompt was last used, by part and endpoint. */
  readonly #usedAt = new Map<string, Map<string, number>>();

  /** Prompt tokens that an endpoint has not read yet. */
  waitingTokens(endpointId: string, now: number): number {
    let tokens = 0;
    for (const [attemptId, read] of this.#waiting) {
      if (now - read.placedAt > WAITING_MILLISECONDS) {
        this.#waiting.delete(attemptId);
      } else if (read.endpointId === endpointId) tokens += read.tokens;
    }
    return tokens;
  }

  /** Tokens at the beginning of a prompt that an endpoint keeps. */
  heldTokens(
    endpointId: string,
    parts: readonly PromptPart[],
    now: number,
  ): number {
    let tokens = 0;
    for (const part of parts) {
      const usedAt = this.#usedAt.get(part.id)?.get(endpointId);
      if (usedAt === undefined || now - usedAt > KEPT_MILLISECONDS) break;
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Notes that a request is read at a place from now on. */
  placed(
    attemptId: string,
    options: {
      readonly place: ReaderPlace;
      readonly parts: readonly PromptPart[];
      /** Tokens that the endpoint has to read itself. */
      readonly tokens: number;
      readonly now: number;
    },
  ): void {
    const { place, parts, tokens, now } = options;
    const { endpointId } = place;
    this.#waiting.set(attemptId, { endpointId, tokens, placedAt: now });
    for (const { id } of parts) this.#use(id, endpointId, now);
  }

  /** Notes that a request was read, or won't be. */
  ended(attemptId: string): void {
    this.#waiting.delete(attemptId);
  }

  /** Forgets an endpoint: one that starts again keeps nothing. */
  endpointGone(endpointId: string): void {
    for (const usedAt of this.#usedAt.values()) usedAt.delete(endpointId);
    for (const [attemptId, read] of this.#waiting) {
      if (read.endpointId === endpointId) this.#waiting.delete(attemptId);
    }
  }

  #use(partId: string, endpointId: string, now: number): void {
    const usedAt = this.#usedAt.get(partId) ?? new Map<string, number>();
    // Taken out and put in again, so that the map stands in order of use.
    this.#usedAt.delete(partId);
    this.#usedAt.set(partId, usedAt.set(endpointId, now));
    if (this.#usedAt.size <= MOST_PARTS) return;
    const [oldest] = this.#usedAt.keys();
    if (oldest !== undefined) this.#usedAt.delete(oldest);
  }
}
