import { z } from "zod";

/** The row `configuration/current` of the table, and each revision's row. */
export const configurationRowSchema = z.strictObject({
  /** Incremented by each accepted change. */
  revision: z.number().int().min(1),
  /** Chosen by the operator's tool to look up a change whose answer was lost. */
  changeId: z.string().min(1),
  operator: z.string(),
  /** Unix time in milliseconds; informational only. */
  acceptedAt: z.number(),
  configuration: z.unknown(),
});

/** An accepted configuration as stored. */
export type ConfigurationRow = z.infer<typeof configurationRowSchema>;
