/** Weight of the newest sample. */
const NEWEST_WEIGHT = 0.1;
/** Before anything was measured, milliseconds: a short call's time. */
const FIRST_GUESS_MILLISECONDS = 60;
/** The same for streams: a model's first step and a prompt of some thousand. */
const FIRST_STREAM_GUESS_MILLISECONDS = 300;

/** How long endpoints take until the first byte, by route; learned. */
export class ExpectedTimes {
  readonly #means = new Map<string, number>();

  /** Milliseconds until the first byte of the answer. */
  of(route: string, isStream: boolean): number {
    return this.#means.get(route) ??
      (isStream ? FIRST_STREAM_GUESS_MILLISECONDS : FIRST_GUESS_MILLISECONDS);
  }

  record(route: string, milliseconds: number, isStream: boolean): void {
    const mean = this.of(route, isStream);
    this.#means.set(route, mean + NEWEST_WEIGHT * (milliseconds - mean));
  }
}
