import { ReadBudget } from "./read_budget.ts";

/** Until `shareMemory` gives another one. */
const MAXIMUM_HELD_BYTES = 64 * 1024 * 1024;

/** The budget of this process, whose memory all its clients share. */
export const PROCESS_READ_BUDGET = new ReadBudget(MAXIMUM_HELD_BYTES);
