import { z } from "zod";
import { MAXIMUM_DEADLINE_MILLISECONDS } from "kelpspar-shared";
import { identifierSchema } from "./common_schemas.ts";

const MAXIMUM_STAGES = 16;

/** A stage of a pipeline; stages run in the listed order. */
export const stageSchema = z.strictObject({
  id: identifierSchema,
  /** The service that runs the stage. */
  service: identifierSchema,
  model: identifierSchema.optional(),
  adapter: identifierSchema.optional(),
  /**
   * `once` for a stage with external side effects, which runs at most once.
   * Stages at services that are not repeatable are always `once`.
   */
  effect: z.enum(["none", "once"]).default("none"),
  /** Characters of the input prefix that requests share, for prefix caches. */
  sharedPrefixCharacters: z.number().int().min(0).default(0),
});

/** A chain of stages and the accounts that may use it. */
export const pipelineSchema = z.strictObject({
  id: identifierSchema,
  stages: z.array(stageSchema).min(1).max(MAXIMUM_STAGES),
  /** The longest deadline that a caller may request, in milliseconds. */
  maximumDeadlineMilliseconds: z.number().int().min(1)
    .max(MAXIMUM_DEADLINE_MILLISECONDS).default(60_000),
  /**
   * The accounts that may use the pipeline, with their most urgent priority.
   */
  accounts: z.array(z.strictObject({
    account: identifierSchema,
    /**
     * 0 is the most urgent; a caller's priority cannot be more urgent than
     * this.
     */
    priority: z.number().int().min(0).max(9).default(0),
  })).min(1),
});

/** A stage of the configuration. */
export type StageConfiguration = z.infer<typeof stageSchema>;

/** A pipeline of the configuration. */
export type PipelineConfiguration = z.infer<typeof pipelineSchema>;
