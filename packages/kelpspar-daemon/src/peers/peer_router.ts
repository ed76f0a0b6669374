import type { ConfigurationRow } from "../configuration/configuration_row.ts";
import type { OwnerAnswer } from "kelpspar-decisions/claims";
import type { ClaimInquiry } from "./claim_inquiry.ts";
import type { PeerDigest } from "./peer_digest.ts";
import { initTRPC, TRPCError } from "@trpc/server";
import { equalInConstantTime } from "kelpspar-shared";
import { claimInquirySchema } from "./claim_inquiry.ts";
import { peerDigestSchema } from "./peer_digest.ts";

/** Answers other daemons. */
export interface PeerHandlers {
  exchange(digest: PeerDigest): PeerDigest;
  configuration(): ConfigurationRow | null;
  askClaim(inquiry: ClaimInquiry): OwnerAnswer;
}

/** What a call from another daemon carries besides its input. */
export interface PeerCallContext {
  /** The secret the caller showed; empty when it showed none. */
  readonly shownSecret: string;
  readonly secret: string;
  readonly handlers: PeerHandlers;
}

// Otherwise refusals carry the stack trace to anyone who reaches the port.
const trpc = initTRPC.context<PeerCallContext>().create({ isDev: false });

// Without the secret any process that reaches the port could hand out a
// configuration or read another account's claims.
const procedure = trpc.procedure.use(({ ctx, next }) => {
  if (equalInConstantTime(ctx.shownSecret, ctx.secret)) return next();
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

/** The type by which tRPC's client knows the router. */
export type PeerRouter = typeof peerRouter;
