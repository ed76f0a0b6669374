import type { TimerService } from "kelpspar-shared";
import type { ArmName } from "./arm.ts";
import type { CallerPolicy } from "./caller/caller_policy.ts";
import type { LoadPlan } from "./load/load_plan.ts";
import type { MeasuredRun } from "./measure/measured_run.ts";
import type { ExperimentSite } from "./site/experiment_site.ts";
import type { SiteChanges } from "./site/site_changes.ts";

/** Named figures of an output line. */
export type Figures = Readonly<Record<string, unknown>>;

/** Passed to an experiment's script, which runs beside the load. */
export interface ScriptContext {
  readonly site: ExperimentSite;
  readonly timer: TimerService;
  readonly seconds: number;
  /** Resolves when this many seconds of measured load have passed. */
  readonly at: (seconds: number) => Promise<void>;
  /** Adds figures to the output line. */
  readonly note: (figures: Figures) => void;
}

/** One run of an experiment: an arm, or a variant of it. */
export interface ExperimentRun {
  readonly arm: ArmName;
  /** Distinguishes runs of the same arm. */
  readonly variant?: string;
  readonly site?: SiteChanges;
  readonly load?: Partial<LoadPlan>;
  readonly callers?: CallerPolicy;
  /** Injects faults into the site while the load runs. */
  readonly script?: (stage: ScriptContext) => Promise<void>;
  /** Adds figures after the load. */
  readonly inspect?: (
    run: MeasuredRun,
    site: ExperimentSite,
  ) => Figures | Promise<Figures>;
}

/** An experiment: the question it answers, and its runs. */
export interface Experiment {
  readonly name: string;
  readonly question: string;
  readonly runs: readonly ExperimentRun[];
}
