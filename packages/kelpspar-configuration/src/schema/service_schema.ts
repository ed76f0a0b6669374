import { z } from "zod";
import { identifierSchema } from "./common_schemas.ts";

/** A pool of endpoints of one kind. */
export const serviceSchema = z.strictObject({
  id: identifierSchema,
  kind: z.enum(["engine", "plain"]),
  /** False for a service whose calls may not be repeated. */
  repeatable: z.boolean().default(true),
  /** Models that an engine pool runs; empty for plain services. */
  models: z.array(identifierSchema).default([]),
  /**
   * Calls that an endpoint runs at a time, until its load report gives the
   * number.
   */
  concurrency: z.number().int().min(1).default(8),
  /** Timeout of a call without progress, in milliseconds. */
  progressTimeoutMilliseconds: z.number().int().min(10).default(2_000),
});

/** A pool of endpoints of the configuration. */
export type ServiceConfiguration = z.infer<typeof serviceSchema>;
