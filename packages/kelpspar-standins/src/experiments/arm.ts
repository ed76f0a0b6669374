/** The program that runs as the site's daemons. */
export type ArmName = "naive" | "kelpspar";

/** All arms, in the order in which they run. */
export const ARMS: readonly ArmName[] = ["naive", "kelpspar"];
