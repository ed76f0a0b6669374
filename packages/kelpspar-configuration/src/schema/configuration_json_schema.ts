import { z } from "zod";
import { configurationSchema } from "./configuration_schema.ts";

/**
 * Returns the JSON Schema of a complete configuration file, for editors. It
 * does not include the cross-checks, which `parseConfiguration` runs.
 */
export function configurationJsonSchema(): Readonly<Record<string, unknown>> {
  return z.toJSONSchema(configurationSchema, { io: "input" });
}
