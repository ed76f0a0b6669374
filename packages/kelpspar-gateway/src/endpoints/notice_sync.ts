import type { RandomSource, TimerService } from "kelpspar-shared";
import type { FleetMembership } from "../fleet/fleet_membership.ts";
import type { PeerClient } from "../fleet/peer_client.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { EndpointLeavings } from "./endpoint_leavings.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";
import type { NoticePage } from "./notice_page.ts";
import { KnowledgeSync } from "../fleet/gossip_sync.ts";

/** Daemons that are told at once of what an answer said here, */
const PEERS_TOLD = 8;
/** and of what another daemon told. */
const PEERS_TOLD_ON = 2;

/** What a sync works with. */
export interface NoticeSyncOptions {
  readonly limits: EndpointLimits;
  readonly leavings: EndpointLeavings;
  readonly peers: Pick<PeerClient, "shareNotices">;
  readonly membership: Pick<FleetMembership, "contacts">;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: GatewayLog;
}

/**
 * Keeps all daemons at the same knowledge of what endpoints say of themselves
 * to all. The coordinator is rarely answered by an endpoint itself.
 */
export class NoticeSync extends KnowledgeSync<NoticePage> {
  constructor(options: NoticeSyncOptions) {
    const { limits, leavings, peers, timer } = options;
    super({
      ...options,
      name: "notices",
      knowledge: {
        get checksum() {
          return (limits.checksum + leavings.checksum) >>> 0;
        },
        page: () => ({
          limits: limits.page(timer.now()),
          leavings: leavings.page(timer.now()),
        }),
        take: (page) => {
          const hasLimits = limits.take(page.limits, timer.now());
          const hasLeavings = leavings.take(page.leavings, timer.now());
          if (hasLimits || hasLeavings) this.tellSome(PEERS_TOLD_ON);
        },
      },
      share: (peer, page) => peers.shareNotices(peer, page),
    });
  }

  /** Tells others of what an answer said here. */
  heard(): void {
    this.tellSome(PEERS_TOLD);
  }
}
