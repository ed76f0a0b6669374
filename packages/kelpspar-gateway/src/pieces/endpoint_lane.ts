import type { PieceTerms } from "../configuration/service_definition.ts";
import type { EndpointRateLimiter } from "../endpoints/endpoint_rate_limiter.ts";
import type { EndpointState } from "../endpoints/endpoint_state.ts";
import type { PieceResult } from "./chain_outcome.ts";
import type { RunningCall } from "./running_call.ts";
import { piecesPerMillisecond } from "./service_capacity.ts";

const MILLISECONDS_PER_SECOND = 1_000;

interface KeptResult {
  readonly bytes: number;
  readonly expiresAt: number;
}

/** One endpoint of a stage service: its calls and the room for its results. */
export class EndpointLane {
  readonly endpoint: EndpointState;
  readonly calls = new Set<RunningCall>();
  /** Until then it gets no calls: it was full; monotonic milliseconds. */
  pausedUntil = 0;
  /** Room taken by results that this daemon knows nothing of, bytes. */
  foreignBytes = 0;
  /** The endpoint is asked how much of its room is left. */
  isRoomAsked = false;
  /** Set once the endpoint is gone; what it still answers is lost with it. */
  isGone = false;
  readonly #gate: EndpointRateLimiter;
  readonly #kept = new Map<string, KeptResult>();

  constructor(endpoint: EndpointState, gate: EndpointRateLimiter) {
    this.endpoint = endpoint;
    this.#gate = gate;
  }

  /** True when one more call may start. */
  isFree(terms: PieceTerms, now: number): boolean {
    return this.calls.size < terms.slots && this.pausedUntil <= now &&
      this.endpoint.remainingPauseMilliseconds(now) === 0 &&
      this.#gate.isWithinLimit(this.endpoint, now);
  }

  /** Time until one more call may start, milliseconds. */
  waitFor(
    terms: PieceTerms,
    options: { readonly slowness: number; readonly now: number },
  ): number {
    const pause = Math.max(
      this.endpoint.remainingPauseMilliseconds(options.now),
      this.#gate.waitFor(this.endpoint, options.now),
    );
    if (this.calls.size < terms.slots) return pause;
    const due = [...this.calls].map((call) =>
      call.startedAt + call.soundTime * Math.max(1, options.slowness)
    );
    return Math.max(pause, Math.min(...due) - options.now);
  }

  /** Pieces a millisecond that it makes in full calls. */
  rate(terms: PieceTerms, now: number): number {
    const slowness = Math.max(1, this.endpoint.slowness(now));
    const rate = piecesPerMillisecond(terms, [slowness]);
    const callsPerSecond = this.#gate.rateOf(this.endpoint, now);
    if (callsPerSecond === undefined) return rate;
    const limit = callsPerSecond * terms.batch / MILLISECONDS_PER_SECOND;
    return Math.min(rate, limit);
  }

  /** Notes that a call starts. */
  start(call: RunningCall, now: number): void {
    this.calls.add(call);
    this.endpoint.inFlight++;
    this.#gate.recordRequest(this.endpoint, now);
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

  /** Notes that the endpoint had no place for a result of `bytes`. */
  hadNoRoom(bytes: number, options: { terms: PieceTerms; now: number }): void {
    const excess = this.room(options.terms, options.now) - bytes + 1;
    if (excess > 0) this.foreignBytes += excess;
  }

  /** A result that this endpoint made. */
  resultOf(handle: string): PieceResult {
    const { id, address, zone } = this.endpoint.entry;
    return { handle, makerId: id, makerAddress: address, makerZone: zone };
  }

  keep(handle: string, result: KeptResult): void {
    this.#kept.set(handle, result);
  }

  free(handle: string): void {
    this.#kept.delete(handle);
  }
}
