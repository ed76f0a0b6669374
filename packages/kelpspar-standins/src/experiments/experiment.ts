import type { TimerService } from "kelpspar-shared";
import type { ArmName } from "./arm.ts";
import type { CallerPolicy } from "./caller/caller_policy.ts";
import type { LoadPlan } from "./load/load_plan.ts";
import type { MeasuredRun } from "./measure/measured_run.ts";
import type { ExperimentSite } from "./site/experiment_site.ts";
import type { SiteChanges } from "./site/site_changes.ts";

/** Further figures of a line. */
export type Figures = Readonly<Record<string, unknown>>;

/** What an experiment's script works on, while the load runs. */
export interface ExperimentStage {
  readonly site: ExperimentSite;
  readonly timer: TimerService;
  readonly seconds: number;
  /** Resolves so many seconds after the measured load began. */
  readonly at: (seconds: number) => Promise<void>;
  /** Adds figures to the line. */
  readonly note: (figures: Figures) => void;
}

/** One run of an experiment: an arm, or a variant of it. */
export interface ExperimentRun {
  readonly arm: ArmName;
  /** Tells runs of one arm apart. */
  readonly variant?: string;
  readonly site?: SiteChanges;
  readonly load?: Partial<LoadPlan>;
  readonly callers?: CallerPolicy;
  /** Puts faults to the site while the load runs. */
  readonly script?: (stage: ExperimentStage) => Promise<void>;
  /** Adds figures after the load. */
  readonly inspect?: (
    run: MeasuredRun,
    site: ExperimentSite,
  ) => Figures | Promise<Figures>;
}

/** An experiment: what it asks, and its runs. */
export interface Experiment {
  readonly name: string;
  readonly question: string;
  readonly runs: readonly ExperimentRun[];
}
