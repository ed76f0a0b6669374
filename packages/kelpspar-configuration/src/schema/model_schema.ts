import { z } from "zod";
import { identifierSchema } from "./common_schemas.ts";

/** A model with its desired version and its adapters. */
export const modelSchema = z.strictObject({
  id: identifierSchema,
  version: identifierSchema,
  adapters: z.array(identifierSchema).default([]),
  /**
   * Minimum number of engines that stay ready for this model during changes.
   */
  minimumReady: z.number().int().min(0).default(1),
});

/** A model of the configuration. */
export type ModelConfiguration = z.infer<typeof modelSchema>;
