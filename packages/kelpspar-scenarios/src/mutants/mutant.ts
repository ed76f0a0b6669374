import type { WorldMutation } from "../world/world_mutation.ts";

/** A guard taken away, and the scenario that must notice. */
export interface Mutant {
  readonly name: string;
  /** What is taken away, in one sentence. */
  readonly removes: string;
  readonly mutation: WorldMutation;
  /** The scenario's promise and name, as its test is called. */
  readonly noticedBy: string;
}
