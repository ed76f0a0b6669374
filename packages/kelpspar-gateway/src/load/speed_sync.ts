import type { RandomSource, TimerService } from "kelpspar-shared";
import type { EndpointRegistry } from "../endpoints/endpoint_registry.ts";
import type { FleetMembership } from "../fleet/fleet_membership.ts";
import type { PeerClient } from "../fleet/peer_client.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { LearnedSpeed } from "./learned_speed.ts";
import { GossipSync } from "../fleet/gossip_sync.ts";

/**
 * Minimum time between two exchanges that a daemon starts. Baseline speeds last
 * for an endpoint's life, so that they may take some seconds to reach all.
 */
const SHARE_INTERVAL_MILLISECONDS = 1_500;

/** Dependencies of `SpeedSync`. */
export interface SpeedSyncOptions {
  readonly registry: Pick<EndpointRegistry, "speeds" | "mergeSpeeds">;
  readonly peers: Pick<PeerClient, "shareSpeeds">;
  readonly membership: Pick<FleetMembership, "contacts">;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: GatewayLog;
}

/**
 * Replicates learned speeds of endpoints to all daemons, a page at a time, when
 * a digest shows that another daemon knows other ones.
 */
export class SpeedSync extends GossipSync<readonly LearnedSpeed[]> {
  readonly #timer: TimerService;
  #sharedAt = Number.NEGATIVE_INFINITY;

  constructor(options: SpeedSyncOptions) {
    const { registry, peers, timer } = options;
    super({
      ...options,
      name: "endpoint speeds",
      gossipState: {
        get checksum() {
          return registry.speeds.checksum;
        },
        page: () => registry.speeds.page(),
        merge: (page) => registry.mergeSpeeds(page, timer.now()),
      },
      share: (peer, page) => peers.shareSpeeds(peer, page),
    });
    this.#timer = timer;
  }

  /**
   * Handles another daemon's checksum. A daemon without one knows no speeds and
   * asks itself, or is of an older build. Of two daemons the one with the lower
   * checksum starts the exchange, so that there is only one.
   */
  override told(peer: string, checksum: number | undefined): void {
    const own = this.checksum;
    const isOther = checksum === undefined || own !== undefined &&
        own >= checksum;
    const now = this.#timer.now();
    if (isOther || now - this.#sharedAt < SHARE_INTERVAL_MILLISECONDS) return;
    this.#sharedAt = now;
    super.told(peer, checksum);
  }
}
