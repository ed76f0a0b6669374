import type { RandomSource, TimerService } from "kelpspar-shared";
import type { FleetMembership } from "../fleet/fleet_membership.ts";
import type { PeerClient } from "../fleet/peer_client.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { EndpointLeavings } from "./endpoint_leavings.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";
import type { NoticePage } from "./notice_page.ts";
import { GossipSync } from "../fleet/gossip_sync.ts";

/** Number of daemons that a notice received here is sent to at once. */
const LOCAL_NOTICE_PEERS = 8;
/** Number of daemons that a notice from another daemon is forwarded to. */
const FORWARDING_PEERS = 2;

/** Dependencies of `NoticeSync`. */
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
 * Replicates endpoint limits and leavings to all daemons. The coordinator needs
 * this, because it rarely receives responses from endpoints itself.
 */
export class NoticeSync extends GossipSync<NoticePage> {
  constructor(options: NoticeSyncOptions) {
    const { limits, leavings, peers, timer } = options;
    super({
      ...options,
      name: "notices",
      gossipState: {
        get checksum() {
          return (limits.checksum + leavings.checksum) >>> 0;
        },
        page: () => ({
          limits: limits.page(timer.now()),
          leavings: leavings.page(timer.now()),
        }),
        merge: (page) => {
          const hasLimits = limits.merge(page.limits, timer.now());
          const hasLeavings = leavings.merge(page.leavings, timer.now());
          if (hasLimits || hasLeavings) this.shareWithSome(FORWARDING_PEERS);
        },
      },
      share: (peer, page) => peers.shareNotices(peer, page),
    });
  }

  /** Shares a notice that this daemon received from an endpoint. */
  shareLocalNotice(): void {
    this.shareWithSome(LOCAL_NOTICE_PEERS);
  }
}
