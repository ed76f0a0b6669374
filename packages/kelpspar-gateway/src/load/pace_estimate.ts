/**
 * Samples that the prior counts for. With fewer, the first call after a restart
 * would decide the estimate.
 */
const PRIOR_SAMPLES = 4;
/** Weight of a sample once there are many; averages over some 25 calls. */
const MINIMUM_WEIGHT = 0.04;
/**
 * Largest change of the logarithm that one sample may ask for, a factor of 1.65:
 * a slowdown that the endpoint didn't report is transient and must not become
 * its baseline within a few calls.
 */
const MAXIMUM_STEP = 0.5;
/** The baseline is kept between a quarter and four times the expected time. */
const MAXIMUM_LOGARITHM = Math.log(4);

/**
 * Estimates the normal service time of one incarnation of an endpoint, relative
 * to the expected time: below 1 for a fast machine.
 */
export class PaceEstimate {
  #logarithm = 0;
  #value = 1;
  #samples = 0;

  get value(): number {
    return this.#value;
  }

  /** Number of calls that the estimate is based on. */
  get samples(): number {
    return this.#samples;
  }

  /** Sets the value assumed before the first calls; ignored after them. */
  assume(pace: number): void {
    if (this.#samples < PRIOR_SAMPLES) this.#set(Math.log(pace));
  }

  /** Records a call that took `ratio` times the expected time. */
  record(ratio: number): void {
    this.#samples++;
    const weight = Math.max(
      MINIMUM_WEIGHT,
      1 / (PRIOR_SAMPLES + this.#samples),
    );
    const step = Math.log(ratio) - this.#logarithm;
    this.#set(
      this.#logarithm +
        weight * Math.max(-MAXIMUM_STEP, Math.min(MAXIMUM_STEP, step)),
    );
  }

  #set(logarithm: number): void {
    this.#logarithm = Math.max(
      -MAXIMUM_LOGARITHM,
      Math.min(MAXIMUM_LOGARITHM, logarithm),
    );
    this.#value = Math.exp(this.#logarithm);
  }
}
