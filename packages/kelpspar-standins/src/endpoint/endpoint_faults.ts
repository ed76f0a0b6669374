import { z } from "zod";

const shareSchema = z.number().min(0).max(1).default(0);
const countSchema = z.number().int().min(0).default(0);

/** Faults of an endpoint. */
export const endpointFaultsSchema = z.strictObject({
  /** Multiplies the time of everything it runs. */
  slowFactor: z.number().gt(0).default(1),
  /** Share of calls that fail. */
  failShare: shareSchema,
  /** Whether a failing call ran; if not, it says `started: false`. */
  failStarted: z.boolean().default(true),
  /** Accepts connections and calls, and never answers. */
  hang: z.boolean().default(false),
  /** Share of calls that run whole and whose connection then drops. */
  loseAnswerShare: shareSchema,
  /** Share of streams whose connection drops on the way. */
  cutShare: shareSchema,
  /** Share of chunk records that are sent twice. */
  duplicateShare: shareSchema,
  /** Share of chunk records that come after the record that follows them. */
  reorderShare: shareSchema,
  /** Share of chunk records that come only just before the last record. */
  lateShare: shareSchema,
  /** Share of chunk records after which a record of another attempt comes. */
  foreignShare: shareSchema,
  /** Dies as it starts its Nth call; 0 for never. */
  dieAtCall: countSchema,
  /** Silences its open connections as it starts its Nth call; 0 for never. */
  silenceAtCall: countSchema,
});

/** Faults of an endpoint, with every default filled in. */
export type EndpointFaults = z.infer<typeof endpointFaultsSchema>;
