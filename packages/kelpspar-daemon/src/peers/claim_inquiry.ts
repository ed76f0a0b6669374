import { z } from "zod";

/** Asks the holder of a claim about it. */
export const claimInquirySchema = z.strictObject({
  accountId: z.string(),
  idempotencyKey: z.string(),
  operationId: z.string(),
});

/** An inquiry as sent between daemons. */
export type ClaimInquiry = z.infer<typeof claimInquirySchema>;
