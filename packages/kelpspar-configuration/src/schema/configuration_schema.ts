import { z } from "zod";
import { accountSchema } from "./account_schema.ts";
import { identifierSchema } from "./common_schemas.ts";
import { limitsSchema } from "./limits_schema.ts";
import { modelSchema } from "./model_schema.ts";
import { operatorSchema } from "./operator_schema.ts";
import { pipelineSchema } from "./pipeline_schema.ts";
import { serviceSchema } from "./service_schema.ts";

/** The complete configuration of a site: the base merged with its overlay. */
export const configurationSchema = z.strictObject({
  $schema: z.string().optional(),
  site: identifierSchema,
  accounts: z.array(accountSchema).min(1),
  operators: z.array(operatorSchema).min(1),
  models: z.array(modelSchema).default([]),
  services: z.array(serviceSchema).min(1),
  pipelines: z.array(pipelineSchema).min(1),
  limits: limitsSchema.prefault({}),
});

/** A valid configuration with all defaults filled in. */
export type Configuration = z.infer<typeof configurationSchema>;
