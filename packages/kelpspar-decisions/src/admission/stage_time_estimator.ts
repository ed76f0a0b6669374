import type { RemainingTimes, StageTimes } from "./stage_times.ts";
import { addStageTimes } from "./stage_times.ts";
import { TimeHistogram } from "./time_histogram.ts";

/** Estimates stage durations per pipeline from recent observations. */
export class StageTimeEstimator {
  readonly #histograms = new Map<string, TimeHistogram>();
  readonly #windowMilliseconds: number | undefined;

  constructor(options: { readonly windowMilliseconds?: number } = {}) {
    this.#windowMilliseconds = options.windowMilliseconds;
  }

  /**
   * Records the time from a call's dispatch to its end across all attempts.
   * Also call it for a stage that was aborted for taking too long, with the
   * time elapsed until then: if only successes were counted, a stage that hangs
   * would look fast. Calls that failed early are not recorded.
   */
  observe(
    pipelineId: string,
    stageId: string,
    options: { readonly milliseconds: number; readonly now: number },
  ): void {
    const key = stageKey(pipelineId, stageId);
    let histogram = this.#histograms.get(key);
    if (histogram === undefined) {
      histogram = new TimeHistogram(
        this.#windowMilliseconds === undefined
          ? {}
          : { windowMilliseconds: this.#windowMilliseconds },
      );
      this.#histograms.set(key, histogram);
    }
    histogram.observe(options.milliseconds, options.now);
  }

  /** Recent times of a stage; undefined if it did not run recently. */
  times(
    pipelineId: string,
    stageId: string,
    now: number,
  ): StageTimes | undefined {
    return this.#histograms.get(stageKey(pipelineId, stageId))?.times(now);
  }

  /** Total time of several stages; stages without observations count as 0. */
  remainingTimes(
    pipelineId: string,
    stageIds: readonly string[],
    now: number,
  ): RemainingTimes {
    return addStageTimes(
      stageIds.map((stageId) => this.times(pipelineId, stageId, now)),
    );
  }

  /** Removes stages that are no longer configured. */
  retain(isConfigured: (pipelineId: string, stageId: string) => boolean): void {
    for (const key of this.#histograms.keys()) {
      const [pipelineId = "", stageId = ""] = key.split("/");
      if (!isConfigured(pipelineId, stageId)) this.#histograms.delete(key);
    }
  }
}

/** Configuration ids contain no slash. */
function stageKey(pipelineId: string, stageId: string): string {
  return `${pipelineId}/${stageId}`;
}
