import { z } from "zod";
import { serviceFaultsSchema } from "../faults/service_faults.ts";

/** Schema of the table service's faults. */
export const tableFaultsSchema = serviceFaultsSchema.extend({
  /** Commits every Nth transaction but loses its response; 0 for none. */
  loseAnswerEvery: z.number().int().min(0).default(0),
  /** Share of transactions whose response is lost at random. */
  loseAnswerShare: z.number().min(0).max(1).default(0),
  /** Commits every Nth transaction late and loses its response; 0 for none. */
  delayWriteEvery: z.number().int().min(0).default(0),
  /** Share of transactions that are committed late at random. */
  delayWriteShare: z.number().min(0).max(1).default(0),
  /** Delay of late commits, milliseconds. */
  delayWriteMilliseconds: z.number().min(0).default(500),
  /** How a response is lost: a dropped connection, or no response. */
  lostAnswer: z.enum(["reset", "hang"]).default("reset"),
  /** Transactions per second before status 429; 0 for no limit. */
  transactionsPerSecond: z.number().min(0).default(0),
  /** Reads and scans per second before status 429; 0 for no limit. */
  readsPerSecond: z.number().min(0).default(0),
});

/** Faults of the table service, with all defaults applied. */
export type TableFaults = z.infer<typeof tableFaultsSchema>;
