import { z } from "zod";

const shareSchema = z.number().min(0).max(1).default(0);
const countSchema = z.number().int().min(0).default(0);

/** Schema of an endpoint's faults. */
export const endpointFaultsSchema = z.strictObject({
  /** Multiplies all execution times. */
  slowFactor: z.number().gt(0).default(1),
  /** Share of calls that fail. */
  failShare: shareSchema,
  /** Whether a failing call ran; if not, it reports `started: false`. */
  failStarted: z.boolean().default(true),
  /** Accepts connections and calls, and never responds. */
  hang: z.boolean().default(false),
  /** Share of calls that complete and whose connection then drops. */
  loseAnswerShare: shareSchema,
  /** Share of streams whose connection drops before the end. */
  cutShare: shareSchema,
  /** Share of chunk records that are sent twice. */
  duplicateShare: shareSchema,
  /** Share of chunk records that are swapped with the record after them. */
  reorderShare: shareSchema,
  /** Share of chunk records that are delayed until before the last record. */
  lateShare: shareSchema,
  /** Share of chunk records followed by a record of another attempt. */
  foreignShare: shareSchema,
  /** Crashes when it starts its Nth call; 0 for never. */
  dieAtCall: countSchema,
  /** Silences its open connections when its Nth call starts; 0 for never. */
  silenceAtCall: countSchema,
});

/** Faults of an endpoint, with every default filled in. */
export type EndpointFaults = z.infer<typeof endpointFaultsSchema>;
