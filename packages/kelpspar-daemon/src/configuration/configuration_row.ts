import { z } from "zod";

/** The row `configuration/current` of the table, and each revision's row. */
export const configurationRowSchema = z.strictObject({
  /** Grows by one with each accepted change. */
  revision: z.number().int().min(1),
  /** Made by the operator's tool; finds a change whose answer was lost. */
  changeId: z.string().min(1),
  operator: z.string(),
  /** Wall-clock milliseconds since 1970, for people to read. */
  acceptedAt: z.number(),
  configuration: z.unknown(),
});

/** An accepted configuration as stored. */
export type ConfigurationRow = z.infer<typeof configurationRowSchema>;
