import { z } from "zod";
import { identifierSchema } from "./common_schemas.ts";

/** A model, the version wanted and where it runs. */
export const modelSchema = z.strictObject({
  id: identifierSchema,
  version: identifierSchema,
  adapters: z.array(identifierSchema).default([]),
  /** Engines that must stay ready for this model during changes. */
  minimumReady: z.number().int().min(0).default(1),
});

/** A model of the configuration. */
export type ModelConfiguration = z.infer<typeof modelSchema>;
