import type { PieceTerms } from "../configuration/service_definition.ts";
import type { EndpointRateLimiter } from "../endpoints/endpoint_rate_limiter.ts";
import type { EndpointState } from "../endpoints/endpoint_state.ts";
import type { PieceResult } from "./chain_outcome.ts";
import type { RunningCall } from "./running_call.ts";
import { KeptResults } from "./kept_results.ts";
import { piecesPerMillisecond } from "./service_capacity.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/** Fewer pieces would split the stages of most requests. */
const MINIMUM_TRIAL_PIECES = 4;

/** An endpoint of a stage service: its in-flight calls and room for results. */
export class CallTarget {
  readonly endpoint: EndpointState;
  readonly calls = new Set<RunningCall>();
  readonly results = new KeptResults();
  /** No calls until then because it was full; monotonic milliseconds. */
  pausedUntil = 0;
  /** Calls in succession that it refused as full. */
  refusals = 0;
  /** Room taken by results of other daemons, bytes. */
  foreignBytes = 0;
  /** True while its room is being queried or the last report is valid. */
  isRoomPolled = false;
  /** Set once the endpoint is gone; results that it still returns are lost. */
  isGone = false;
  readonly #rateLimiter: EndpointRateLimiter;

  constructor(endpoint: EndpointState, rateLimiter: EndpointRateLimiter) {
    this.endpoint = endpoint;
    this.#rateLimiter = rateLimiter;
  }

  /** True when another call may start. */
  isFree(terms: PieceTerms, now: number): boolean {
    return this.calls.size < terms.slots && this.pausedUntil <= now &&
      this.endpoint.remainingPauseMilliseconds(now) === 0 &&
      this.#rateLimiter.isWithinLimit(this.endpoint, now);
  }

  /** Pieces in its next call at most: few while it refuses calls. */
  batch(terms: PieceTerms): number {
    const pieces = Math.floor(terms.batch / 2 ** this.refusals);
    return Math.max(Math.min(terms.batch, MINIMUM_TRIAL_PIECES), pieces);
  }

  /** Time until another call may start, milliseconds. */
  waitFor(
    terms: PieceTerms,
    options: { readonly slowness: number; readonly now: number },
  ): number {
    const pause = Math.max(
      this.endpoint.remainingPauseMilliseconds(options.now),
      this.#rateLimiter.waitFor(this.endpoint, options.now),
    );
    if (this.calls.size < terms.slots) return pause;
    const due = [...this.calls].map((call) =>
      call.startedAt + call.expectedCallTime * Math.max(1, options.slowness)
    );
    return Math.max(pause, Math.min(...due) - options.now);
  }

  /** Pieces per millisecond that it makes in full calls. */
  rate(terms: PieceTerms, now: number): number {
    const slowness = Math.max(1, this.endpoint.expectedSlowness(now));
    const rate = piecesPerMillisecond(terms, [slowness]);
    const callsPerSecond = this.#rateLimiter.rateOf(this.endpoint, now);
    if (callsPerSecond === undefined) return rate;
    const limit = callsPerSecond * terms.batch / MILLISECONDS_PER_SECOND;
    return Math.min(rate, limit);
  }

  /** Records the start of a call. */
  startCall(call: RunningCall, now: number): void {
    this.calls.add(call);
    this.endpoint.inFlight++;
    this.#rateLimiter.recordRequest(this.endpoint, now);
  }

  /** Bytes free for results, less those reserved for in-flight calls. */
  room(terms: PieceTerms, now: number): number {
    let used = this.results.totalBytes(now);
    for (const call of this.calls) used += call.resultBytes;
    return terms.resultBytes - used - this.foreignBytes;
  }

  /** Bytes that will be free as soon as they are needed. */
  reclaimableRoom(now: number): number {
    return this.results.bytesOf("retained", now) +
      this.results.bytesOf("freeing", now);
  }

  /** Records that the endpoint had no room for a result of `bytes`. */
  recordNoRoom(
    bytes: number,
    options: { terms: PieceTerms; now: number },
  ): void {
    const excess = this.room(options.terms, options.now) - bytes + 1;
    if (excess > 0) this.foreignBytes += excess;
  }

  /** Describes a result that this endpoint made. */
  resultOf(handle: string): PieceResult {
    const { id, address, zone } = this.endpoint.entry;
    return { handle, makerId: id, makerAddress: address, makerZone: zone };
  }
}
