import type { RemainingTimes, StageTimes } from "./stage_times.ts";
import { addStageTimes } from "./stage_times.ts";
import { TimeHistogram } from "./time_histogram.ts";

/** How long a stage of a pipeline takes, from what was observed lately. */
export class StageTimeEstimator {
  readonly #histograms = new Map<string, TimeHistogram>();
  readonly #windowMilliseconds: number | undefined;

  constructor(options: { readonly windowMilliseconds?: number } = {}) {
    this.#windowMilliseconds = options.windowMilliseconds;
  }

  /**
   * Takes the time from a call's dispatch to its end, all its attempts
   * together. Also call it for a stage that was given up for taking too long,
   * with the time it had taken by then: were only the successes counted, a
   * stage that hangs would look fast. Calls that failed early are not counted.
   */
  observe(
    pipelineId: string,
    stageId: string,
    options: { readonly milliseconds: number; readonly now: number },
  ): void {
    const key = keyOf(pipelineId, stageId);
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

  /** Undefined when the stage did not run lately. */
  times(
    pipelineId: string,
    stageId: string,
    now: number,
  ): StageTimes | undefined {
    return this.#histograms.get(keyOf(pipelineId, stageId))?.times(now);
  }

  /** The time of several stages; those of which nothing is known count 0. */
  remainingTimes(
    pipelineId: string,
    stageIds: readonly string[],
    now: number,
  ): RemainingTimes {
    return addStageTimes(
      stageIds.map((stageId) => this.times(pipelineId, stageId, now)),
    );
  }

  /** Forgets stages that the configuration has no more. */
  retain(isConfigured: (pipelineId: string, stageId: string) => boolean): void {
    for (const key of this.#histograms.keys()) {
      const [pipelineId = "", stageId = ""] = key.split("/");
      if (!isConfigured(pipelineId, stageId)) this.#histograms.delete(key);
    }
  }
}

/** Ids of the configuration hold no slash. */
function keyOf(pipelineId: string, stageId: string): string {
  return `${pipelineId}/${stageId}`;
}
