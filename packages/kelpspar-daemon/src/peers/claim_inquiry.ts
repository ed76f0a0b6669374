import { z } from "zod";

/** Asks the holder of a claim about it. */
export const claimInquirySchema = z.strictObject({
  accountId: z.string(),
  idempotencyKey: z.string(),
  /** The incarnation that the claim names. */
  incarnation: z.string(),
  operationId: z.string(),
});

/** An inquiry as sent between daemons. */
export type ClaimInquiry = z.infer<typeof claimInquirySchema>;

/**
 * What the holder knows: the request runs; it was given up before anything was
 * dispatched and never will be; or nothing is known (another incarnation).
 */
export const claimStateSchema = z.strictObject({
  state: z.enum(["running", "not_dispatched", "unknown"]),
});

/** An answer to a claim inquiry. */
export type ClaimState = z.infer<typeof claimStateSchema>;
