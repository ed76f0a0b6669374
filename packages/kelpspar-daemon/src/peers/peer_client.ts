import type { HostAddress } from "kelpspar-shared";
import type { ConfigurationRow } from "../configuration/configuration_row.ts";
import type { OwnerAnswer } from "kelpspar-decisions/claims";
import type { ClaimInquiry } from "./claim_inquiry.ts";
import type { PeerDigest } from "./peer_digest.ts";

/** Where another daemon is. */
export type PeerAddress = HostAddress;

/** Calls to other daemons. Each throws `peer_unavailable`. */
export interface PeerClient {
  /** Gives a digest and gets the other's. */
  exchange(peer: PeerAddress, digest: PeerDigest): Promise<PeerDigest>;
  /** The configuration in force there; null while it has none. */
  configuration(peer: PeerAddress): Promise<ConfigurationRow | null>;
  /** Asks the daemon that holds a claim what became of it. */
  askClaim(peer: PeerAddress, inquiry: ClaimInquiry): Promise<OwnerAnswer>;
}
