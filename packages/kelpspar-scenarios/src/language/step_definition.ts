import type { World } from "../world/world.ts";
import type { StepArguments } from "./step_arguments.ts";

/** Carries out a step; throws an Error when what it asserts does not hold. */
export type StepHandler = (
  world: World,
  values: StepArguments,
) => void | Promise<void>;

/** A row of a table of steps. */
export interface StepDefinition {
  /** One sentence for docs/SCENARIOS.md. */
  readonly meaning: string;
  readonly handler: StepHandler;
}

/** Steps by their pattern. */
export type StepTable = Readonly<Record<string, StepDefinition>>;
