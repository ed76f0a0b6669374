import type { PromptPart } from "../requests/serving_request.ts";
import { EndpointMemory } from "./endpoint_memory.ts";

/** A request whose reading nobody reported counts so long, milliseconds. */
const WAITING_MILLISECONDS = 3_000;

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
  readonly #memories = new Map<string, EndpointMemory>();

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

  /** What an endpoint keeps; `capacity` counts when it is new, tokens. */
  memoryOf(endpointId: string, capacity: number): EndpointMemory {
    const known = this.#memories.get(endpointId);
    if (known !== undefined) return known;
    const memory = new EndpointMemory(capacity);
    this.#memories.set(endpointId, memory);
    return memory;
  }

  /** Notes that a request is read at an endpoint from now on. */
  placed(
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
    this.#waiting.set(attemptId, { endpointId, tokens, placedAt: now });
    this.#memories.get(endpointId)?.use(parts, now);
  }

  /** Notes that a request was read, or won't be. */
  ended(attemptId: string): void {
    this.#waiting.delete(attemptId);
  }

  /** Forgets an endpoint: one that starts again keeps nothing. */
  endpointGone(endpointId: string): void {
    this.#memories.delete(endpointId);
    for (const [attemptId, read] of this.#waiting) {
      if (read.endpointId === endpointId) this.#waiting.delete(attemptId);
    }
  }
}
