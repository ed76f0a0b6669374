import type { PieceTerms } from "../configuration/service_definition.ts";
import type { EndpointState } from "../endpoints/endpoint_state.ts";
import type { RunningCall } from "./running_call.ts";

interface KeptResult {
  readonly bytes: number;
  readonly expiresAt: number;
}

/** One endpoint of a stage service: its calls and the room for its results. */
export class EndpointLane {
  readonly endpoint: EndpointState;
  readonly calls = new Set<RunningCall>();
  /** Until then it gets no calls: it had no room; monotonic milliseconds. */
  pausedUntil = 0;
  /** Room taken by results that this daemon knows nothing of, bytes. */
  foreignBytes = 0;
  readonly #kept = new Map<string, KeptResult>();

  constructor(endpoint: EndpointState) {
    this.endpoint = endpoint;
  }

  /** Bytes free for results, those of running calls taken off. */
  room(terms: PieceTerms, now: number): number {
    let used = 0;
    for (const [handle, { bytes, expiresAt }] of this.#kept) {
      if (expiresAt <= now) this.#kept.delete(handle);
      else used += bytes;
    }
    for (const call of this.calls) used += call.resultBytes;
    return terms.resultBytes - used - this.foreignBytes;
  }

  keep(handle: string, result: KeptResult): void {
    this.#kept.set(handle, result);
  }

  free(handle: string): void {
    this.#kept.delete(handle);
  }
}
