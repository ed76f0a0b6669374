import type { World } from "../world/world.ts";
import type { StepArguments } from "./step_arguments.ts";

/** Runs a step; throws an Error if its assertion fails. */
export type StepHandler = (
  world: World,
  values: StepArguments,
) => void | Promise<void>;

/** The definition of a step. */
export interface StepDefinition {
  /** Description in docs/SCENARIOS.md, without a full stop. */
  readonly meaning: string;
  readonly handler: StepHandler;
}

/** Step definitions, by pattern. */
export type StepTable = Readonly<Record<string, StepDefinition>>;
