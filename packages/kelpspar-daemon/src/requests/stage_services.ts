import type { EndpointClient } from "kelpspar-backends";
import type { RandomSource, StageRecord, TimerService } from "kelpspar-shared";
import type { DecisionParts } from "../scheduling/decision_parts.ts";
import type { Scheduler } from "../scheduling/scheduler.ts";
import type { RecordGaps } from "./record_gap_estimator.ts";
import type { StageObserver } from "./stage_observer.ts";

/** What stages run on. */
export interface StageServices {
  readonly endpoints: EndpointClient;
  readonly scheduler: Scheduler;
  readonly parts: DecisionParts;
  readonly gaps: RecordGaps;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly observer: StageObserver;
  readonly onForeignRecord: (record: StageRecord) => void;
}
