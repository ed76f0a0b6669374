import type { RequestRun } from "./request_run.ts";

/** The two longest of several ages, so that one request can be left out. */
export class LongestAges {
  #longest = 0;
  #second = 0;
  #oldest: RequestRun | undefined;

  add(run: RequestRun, milliseconds: number): void {
    if (milliseconds <= this.#longest) {
      this.#second = Math.max(this.#second, milliseconds);
      return;
    }
    this.#second = this.#longest;
    this.#longest = milliseconds;
    this.#oldest = run;
  }

  /** The longest age of other requests, milliseconds; 0 without any. */
  longestBut(run: RequestRun): number {
    return this.#oldest === run ? this.#second : this.#longest;
  }
}
