import type { BegunStream } from "./stream_origin.ts";
import { EXPIRY_MARGIN_MILLISECONDS } from "./stream_origin.ts";

/** Streams that a daemon remembers at most; the oldest is dropped first. */
const MAXIMUM_STREAMS = 50_000;
/** Oldest streams that are checked for expiry whenever one is added. */
const CHECKED_STREAMS = 4;

interface RememberedStream {
  readonly stream: BegunStream;
  readonly expiresAt: number;
  /** Whether this daemon began it. */
  readonly isOwn: boolean;
  /** Whether its first event has reached the caller from this daemon. */
  readonly hasBegun: boolean;
}

/** Options of `BegunStreams.add`. */
export interface AddStreamOptions {
  readonly isOwn: boolean;
  /** Monotonic milliseconds. */
  readonly now: number;
}

/** Remembers which software began the streams of this and other daemons. */
export class BegunStreams {
  readonly #streams = new Map<string, RememberedStream>();

  get size(): number {
    return this.#streams.size;
  }

  add(stream: BegunStream, { isOwn, now }: AddStreamOptions): void {
    this.#removeOldest(now);
    const { attemptId, sends, remainingMilliseconds } = stream;
    const known = this.#streams.get(attemptId);
    if (known !== undefined && known.stream.sends > sends) return;
    this.#streams.delete(attemptId);
    const expiresAt = now + remainingMilliseconds + EXPIRY_MARGIN_MILLISECONDS;
    const hasBegun = known?.hasBegun ?? false;
    this.#streams.set(attemptId, { stream, expiresAt, isOwn, hasBegun });
  }

  /** Records that the first event of a stream has reached the caller. */
  markBegun(attemptId: string): void {
    const known = this.#streams.get(attemptId);
    if (known === undefined) return;
    this.#streams.set(attemptId, { ...known, hasBegun: true });
  }

  find(attemptId: string, now: number): BegunStream | undefined {
    const known = this.#streams.get(attemptId);
    return known !== undefined && known.expiresAt > now
      ? known.stream
      : undefined;
  }

  /** Live streams that this daemon began, with the time that is left to each. */
  ownStreams(now: number): readonly BegunStream[] {
    return [...this.#streams.values()].filter(({ isOwn }) => isOwn)
      .flatMap((remembered) => toLiveStream(remembered, now));
  }

  /** Live streams whose first event has reached the caller from this daemon. */
  begunStreams(now: number): readonly BegunStream[] {
    return [...this.#streams.values()].filter(({ hasBegun }) => hasBegun)
      .flatMap((remembered) => toLiveStream(remembered, now));
  }

  /** One of `begunStreams`. */
  findBegun(attemptId: string, now: number): BegunStream | undefined {
    const known = this.#streams.get(attemptId);
    return known?.hasBegun === true ? toLiveStream(known, now)[0] : undefined;
  }

  #removeOldest(now: number): void {
    let checked = 0;
    for (const [attemptId, { expiresAt }] of this.#streams) {
      const isFull = this.#streams.size >= MAXIMUM_STREAMS;
      if (!isFull && checked >= CHECKED_STREAMS) return;
      if (isFull || expiresAt <= now) this.#streams.delete(attemptId);
      checked++;
    }
  }
}

function toLiveStream(
  { stream, expiresAt }: RememberedStream,
  now: number,
): readonly BegunStream[] {
  const remaining = expiresAt - EXPIRY_MARGIN_MILLISECONDS - now;
  return remaining > 0 ? [{ ...stream, remainingMilliseconds: remaining }] : [];
}
