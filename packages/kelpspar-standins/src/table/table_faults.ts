import { z } from "zod";
import { serviceFaultsSchema } from "../faults/service_faults.ts";

/** Faults of the table service. */
export const tableFaultsSchema = serviceFaultsSchema.extend({
  /** Every Nth transaction takes effect and its answer is lost; 0 for none. */
  loseAnswerEvery: z.number().int().min(0).default(0),
  /** The same by seeded chance. */
  loseAnswerShare: z.number().min(0).max(1).default(0),
  /** Every Nth transaction's answer is lost and it takes effect later. */
  delayWriteEvery: z.number().int().min(0).default(0),
  /** The same by seeded chance. */
  delayWriteShare: z.number().min(0).max(1).default(0),
  /** How much later, milliseconds. */
  delayWriteMilliseconds: z.number().min(0).default(500),
  /** How a lost answer looks: a dropped connection, or silence. */
  lostAnswer: z.enum(["reset", "hang"]).default("reset"),
  /** Transactions a second before 429; 0 for no limit. */
  transactionsPerSecond: z.number().min(0).default(0),
  /** Reads and scans a second before 429; 0 for no limit. */
  readsPerSecond: z.number().min(0).default(0),
});

/** Faults of the table service, with every default filled in. */
export type TableFaults = z.infer<typeof tableFaultsSchema>;
