import type { ConfigurationRow } from "../configuration/configuration_row.ts";
import type { OwnerAnswer } from "kelpspar-decisions/claims";
import type { ClaimInquiry } from "./claim_inquiry.ts";
import type { PeerDigest } from "./peer_digest.ts";
import { initTRPC, TRPCError } from "@trpc/server";
import { equalInConstantTime } from "kelpspar-shared";
import { claimInquirySchema } from "./claim_inquiry.ts";
import { peerDigestSchema } from "./peer_digest.ts";

/** Handlers for calls of other daemons. */
export interface PeerHandlers {
  exchange(digest: PeerDigest): PeerDigest;
  configuration(): ConfigurationRow | null;
  askClaim(inquiry: ClaimInquiry): OwnerAnswer;
}

/** Context of a call from another daemon. */
export interface PeerCallContext {
  /** The secret that the caller presented; empty if none. */
  readonly presentedSecret: string;
  readonly secret: string;
  readonly handlers: PeerHandlers;
}

// Development mode would include stack traces in error responses.
const trpc = initTRPC.context<PeerCallContext>().create({ isDev: false });

// Without the secret, any process that can reach the port could inject a
// configuration or read the claims of a client account.
const procedure = trpc.procedure.use(({ ctx, next }) => {
  if (equalInConstantTime(ctx.presentedSecret, ctx.secret)) return next();
  throw new TRPCError({ code: "UNAUTHORIZED" });
});

/** The tRPC router that other daemons call. */
export const peerRouter = trpc.router({
  exchange: procedure.input(peerDigestSchema).mutation(({ ctx, input }) =>
    ctx.handlers.exchange(input)
  ),
  configuration: procedure.query(({ ctx }) => ctx.handlers.configuration()),
  askClaim: procedure.input(claimInquirySchema).query(({ ctx, input }) =>
    ctx.handlers.askClaim(input)
  ),
});

/** The router's type, for the tRPC client. */
export type PeerRouter = typeof peerRouter;
