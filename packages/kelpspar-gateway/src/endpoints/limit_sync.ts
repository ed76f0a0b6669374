import type { RandomSource, TimerService } from "kelpspar-shared";
import type { FleetMembership } from "../fleet/fleet_membership.ts";
import type { PeerClient } from "../fleet/peer_client.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { EndpointLimits, LimitSource } from "./endpoint_limits.ts";
import type { LimitPage } from "./limit_page.ts";
import { KnowledgeSync } from "../fleet/knowledge_sync.ts";

/** Daemons that are told at once, by the source of the news. */
const PEERS_TOLD: Readonly<Record<LimitSource, number>> = {
  answer: 8,
  daemon: 2,
};

/** What a sync works with. */
export interface LimitSyncOptions {
  readonly limits: EndpointLimits;
  readonly peers: Pick<PeerClient, "shareLimits">;
  readonly membership: Pick<FleetMembership, "contacts">;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: GatewayLog;
}

/**
 * Keeps all daemons at the same knowledge of endpoints' limits: the coordinator
 * is rarely answered by an endpoint itself.
 */
export class LimitSync extends KnowledgeSync<LimitPage> {
  readonly #limits: EndpointLimits;

  constructor(options: LimitSyncOptions) {
    const { limits, peers, timer } = options;
    super({
      ...options,
      name: "limits",
      knowledge: {
        get checksum() {
          return limits.checksum;
        },
        page: () => limits.page(timer.now()),
        take: (page) => limits.take(page, timer.now()),
      },
      share: (peer, page) => peers.shareLimits(peer, page),
    });
    this.#limits = limits;
  }

  /** Tells others of news; returns the teardown. */
  register(): () => void {
    return this.#limits.registerListener((source) =>
      this.tellSome(PEERS_TOLD[source])
    );
  }
}
