import { z } from "zod";

const MAXIMUM_NAME_LENGTH = 200;
const LONGEST_DEADLINE_MILLISECONDS = 3_600_000;

/** The body of `POST /v1/requests`. */
export const submitRequestSchema = z.strictObject({
  /** The pipeline's id in the configuration. */
  pipeline: z.string().min(1).max(MAXIMUM_NAME_LENGTH),
  /** The input text of the first stage. */
  input: z.string(),
  /** Time limit for the complete answer, in milliseconds from arrival. */
  deadlineMilliseconds: z.number().int(),
  /**
   * Identifies the request for retries and look-ups, within the client account.
   * A key that starts with `@incarnation/` is bound to that daemon.
   */
  idempotencyKey: z.string().min(1).max(MAXIMUM_NAME_LENGTH).optional(),
  /** True when the request must run at most once. */
  nonIdempotent: z.boolean().default(false),
  /**
   * True when an earlier submission of the same key got no final answer. A
   * refusal then covers both submissions and has the outcome `outcome_unknown`.
   */
  resubmission: z.boolean().default(false),
  /** 0 is the most urgent; orders only requests of the same client account. */
  priority: z.number().int().min(0).max(9).default(5),
  /**
   * The first offset that the caller has not received, when it resumes an
   * answer.
   */
  resumeOffset: z.number().int().min(0).default(0),
});

/** The longest deadline that a pipeline may allow, in milliseconds. */
export const MAXIMUM_DEADLINE_MILLISECONDS = LONGEST_DEADLINE_MILLISECONDS;

/** A caller's request as submitted. */
export type SubmitRequest = z.infer<typeof submitRequestSchema>;
