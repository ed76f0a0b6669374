import { z } from "zod";
import { configurationSchema } from "./configuration_schema.ts";

/**
 * The JSON Schema of a whole configuration file, for editors. Cross-checks
 * have no place in it; `parseConfiguration` makes them.
 */
export function configurationJsonSchema(): Readonly<Record<string, unknown>> {
  return z.toJSONSchema(configurationSchema, { io: "input" });
}
