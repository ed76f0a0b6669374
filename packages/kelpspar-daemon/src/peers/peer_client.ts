import type { HostAddress } from "kelpspar-shared";
import type { ConfigurationRow } from "../configuration/configuration_row.ts";
import type { OwnerAnswer } from "kelpspar-decisions/claims";
import type { ClaimInquiry } from "./claim_inquiry.ts";
import type { PeerDigest } from "./peer_digest.ts";

/** The address of another daemon. */
export type PeerAddress = HostAddress;

/** Calls to other daemons. Each method throws `peer_unavailable`. */
export interface PeerClient {
  /** Sends a digest and returns the peer's. */
  exchange(peer: PeerAddress, digest: PeerDigest): Promise<PeerDigest>;
  /** The peer's active configuration; null while it has none. */
  configuration(peer: PeerAddress): Promise<ConfigurationRow | null>;
  /** Asks the daemon that holds a claim for the claim's state. */
  askClaim(peer: PeerAddress, inquiry: ClaimInquiry): Promise<OwnerAnswer>;
}
