import { z } from "zod";
import { identifierSchema, keyHashSchema } from "./common_schemas.ts";

/** An operator with the role of the operator's key. */
export const operatorSchema = z.strictObject({
  id: identifierSchema,
  /** `viewer` may read, `operator` also drain, `administrator` also apply. */
  role: z.enum(["viewer", "operator", "administrator"]),
  keyHash: keyHashSchema,
});

/** An operator of the configuration. */
export type OperatorConfiguration = z.infer<typeof operatorSchema>;

/** The role of an operator's key. */
export type OperatorRole = OperatorConfiguration["role"];
