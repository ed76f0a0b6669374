/** Which program takes the daemons' place. */
export type ArmName = "naive" | "kelpspar";

/** Every arm, in the order they run. */
export const ARMS: readonly ArmName[] = ["naive", "kelpspar"];
