/** A change of the limit that a runner advertises. */
export interface LimitChange {
  /** Time of the change, monotonic milliseconds. */
  readonly at: number;
  /** Header value; undefined for no limit. */
  readonly text: string | undefined;
}

/** The limit advertised in all responses, and the requests received. */
export class AdvertisedLimit {
  readonly changes: LimitChange[] = [];
  /** Arrival times of all requests, refused or not; monotonic milliseconds. */
  readonly arrivals: number[] = [];

  get text(): string | undefined {
    return this.changes.at(-1)?.text;
  }

  set text(text: string | undefined) {
    if (text === this.text) return;
    this.changes.push({ at: performance.now(), text });
  }

  /** Records the arrival of a request. */
  recordArrival(): void {
    this.arrivals.push(performance.now());
  }
}
