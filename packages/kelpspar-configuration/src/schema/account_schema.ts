import { z } from "zod";
import { identifierSchema, keyHashSchema } from "./common_schemas.ts";

/** A client account and its share of the fleet. */
export const accountSchema = z.strictObject({
  id: identifierSchema,
  /**
   * Share of the fleet's runner time when all accounts have a backlog, 0 to 1.
   */
  share: z.number().gt(0).lte(1),
  /** SHA-256 of each caller key, hexadecimal. */
  callerKeyHashes: z.array(keyHashSchema).min(1),
  /** Maximum number of requests queued at one daemon. */
  maximumQueuedRequests: z.number().int().min(1).default(256),
  /** Maximum input of the requests queued at one daemon, in bytes. */
  maximumQueuedBytes: z.number().int().min(1_024).default(16 * 1024 * 1024),
});

/** A client account of the configuration. */
export type AccountConfiguration = z.infer<typeof accountSchema>;
