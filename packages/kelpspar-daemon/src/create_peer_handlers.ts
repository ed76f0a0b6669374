import type { DaemonCore } from "./create_core.ts";
import type { PeerHandlers } from "./peers/peer_router.ts";
import type { TimerService } from "kelpspar-shared";
import { answerClaimInquiry } from "./answer_claim_inquiry.ts";

/** Creates the handlers for calls of other daemons. */
export function createPeerHandlers(
  core: DaemonCore,
  options: { readonly timer: TimerService },
): PeerHandlers {
  return {
    exchange: (digest) => {
      core.fleet.receiveDigest(digest);
      return core.fleet.digest;
    },
    configuration: () => core.state.read().configurationRow ?? null,
    askClaim: (inquiry) =>
      answerClaimInquiry({ ...core, timer: options.timer }, inquiry),
  };
}
