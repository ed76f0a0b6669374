import { z } from "zod";

/** Asks the holder of a claim for the claim's state. */
export const claimInquirySchema = z.strictObject({
  accountId: z.string(),
  idempotencyKey: z.string(),
  operationId: z.string(),
});

/** An inquiry sent between daemons. */
export type ClaimInquiry = z.infer<typeof claimInquirySchema>;
