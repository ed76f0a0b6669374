import type { PromptPart } from "../requests/serving_request.ts";

/**
 * How long a part stays of use after its last request, milliseconds: callers
 * that share one come again within about ten seconds or not at all.
 */
const OF_USE_MILLISECONDS = 15_000;

interface KeptPart {
  readonly tokens: number;
  readonly usedAt: number;
}

/**
 * What a model endpoint keeps of prompts, as far as its requests show: those
 * used least recently yield once its memory is full.
 */
export class EndpointMemory {
  /** In order of use, the part used longest ago first. */
  readonly #parts = new Map<string, KeptPart>();
  readonly #capacity: number;
  #used = 0;

  /** `capacity` in tokens; infinite when it isn't known. */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Tokens that fit before something of use yields; 0 when full. */
  get freeTokens(): number {
    return Math.max(0, this.#capacity - this.#used);
  }

  /** Tokens at the beginning of a prompt that are kept. */
  heldTokens(parts: readonly PromptPart[], now: number): number {
    let tokens = 0;
    for (const part of parts) {
      const kept = this.#parts.get(part.id);
      if (kept === undefined || now - kept.usedAt > OF_USE_MILLISECONDS) break;
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Notes that a prompt is read or used. */
  use(parts: readonly PromptPart[], now: number): void {
    for (const { id, tokens } of parts) {
      this.#drop(id);
      this.#parts.set(id, { tokens, usedAt: now });
      this.#used += tokens;
    }
    for (const [id, { usedAt }] of this.#parts) {
      const isOfUse = now - usedAt <= OF_USE_MILLISECONDS;
      if (isOfUse && this.#used <= this.#capacity) return;
      this.#drop(id);
    }
  }

  #drop(id: string): void {
    this.#used -= this.#parts.get(id)?.tokens ?? 0;
    this.#parts.delete(id);
  }
}
