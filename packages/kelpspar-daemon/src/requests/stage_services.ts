import type { EndpointClient } from "kelpspar-backends";
import type { RandomSource, StageRecord, TimerService } from "kelpspar-shared";
import type { DecisionParts } from "../scheduling/decision_parts.ts";
import type { Scheduler } from "../scheduling/scheduler.ts";
import type { RecordGapEstimator } from "./record_gap_estimator.ts";
import type { StageObserver } from "./stage_observer.ts";

/** Dependencies of running stages. */
export interface StageServices {
  readonly endpoints: EndpointClient;
  readonly scheduler: Scheduler;
  readonly parts: DecisionParts;
  readonly recordGaps: RecordGapEstimator;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly observer: StageObserver;
  readonly onForeignRecord: (record: StageRecord) => void;
}
