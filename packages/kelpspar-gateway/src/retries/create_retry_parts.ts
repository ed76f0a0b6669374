import type { RetryLimits } from "kelpspar-decisions/retries";
import type { TimerService } from "kelpspar-shared";
import type { DaemonAddress } from "../fleet/fleet_digest.ts";
import type { FleetMembership } from "../fleet/fleet_membership.ts";
import type { PeerClient } from "../fleet/peer_client.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { GatewayMetrics } from "../metrics/gateway_metrics.ts";
import type { RowStore } from "../tables/row_store.ts";
import type { StoreEra } from "../tables/store_era.ts";
import { RetryGate } from "./retry_gate.ts";
import { RetryReport } from "./retry_report.ts";
import { SlackBorrower } from "./slack_borrower.ts";
import { SlackLender } from "./slack_lender.ts";

/** Dependencies of the parts that limit retries. */
export interface RetryPartsOptions {
  readonly limits: RetryLimits;
  readonly self: DaemonAddress;
  readonly membership: FleetMembership;
  readonly peers: Pick<PeerClient, "lendRetries">;
  readonly era: StoreEra;
  readonly metrics: GatewayMetrics;
  readonly timer: TimerService;
  readonly log: GatewayLog;
  /** Undefined until this daemon knows the store. */
  readonly store: () => RowStore | undefined;
  /** The daemon that lends to all. */
  readonly lender: () => DaemonAddress | undefined;
}

/** The parts that limit retries. */
export interface RetryParts {
  readonly gate: RetryGate;
  readonly lender: SlackLender;
}

/** Creates the parts that limit retries. */
export function createRetryParts(options: RetryPartsOptions): RetryParts {
  const { membership, self, peers } = options;
  const fleetSize = (): number => membership.size + 1;
  const lender = new SlackLender({ ...options, fleetSize });
  const gate: RetryGate = new RetryGate({
    ...options,
    fleetSize,
    slack: new SlackBorrower({
      daemonId: self.daemonId,
      lender: options.lender,
      peers,
      local: lender,
    }),
    report: new RetryReport({
      ...options,
      describe: (service) => gate.describe(service),
    }),
  });
  membership.registerPauseListener(() => gate.handlePause());
  return { gate, lender };
}
