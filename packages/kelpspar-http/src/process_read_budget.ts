import { ReadBudget } from "./read_budget.ts";

/**
 * Less than what is left of a daemon's memory of 350 MB beside its heap, whose
 * limits are 144 MB of old objects and three semi-spaces of 8 MB.
 */
const MAXIMUM_HELD_BYTES = 64 * 1024 * 1024;

/** The budget of this process, whose memory all its clients share. */
export const PROCESS_READ_BUDGET = new ReadBudget(MAXIMUM_HELD_BYTES);
