import { z } from "zod";
import { identifierSchema, keyHashSchema } from "./common_schemas.ts";

/** An operator and what the key allows. */
export const operatorSchema = z.strictObject({
  id: identifierSchema,
  /** `viewer` reads; `operator` also drains; `administrator` also applies. */
  role: z.enum(["viewer", "operator", "administrator"]),
  keyHash: keyHashSchema,
});

/** An operator of the configuration. */
export type OperatorConfiguration = z.infer<typeof operatorSchema>;

/** What an operator's key allows. */
export type OperatorRole = OperatorConfiguration["role"];
