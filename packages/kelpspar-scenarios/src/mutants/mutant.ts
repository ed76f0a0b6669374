import type { WorldMutation } from "../world/world_mutation.ts";

/** A disabled safeguard, and the scenario that must fail without it. */
export interface Mutant {
  readonly name: string;
  /** The safeguard that is disabled, in one sentence. */
  readonly removes: string;
  readonly mutation: WorldMutation;
  /** Title of the scenario's test. */
  readonly noticedBy: string;
}
