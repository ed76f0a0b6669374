import type { RandomSource, TimerService } from "kelpspar-shared";
import type { ConfigurationKeeper } from "../configuration/configuration_keeper.ts";
import type { EndpointRateLimiter } from "../endpoints/endpoint_rate_limiter.ts";
import type { EndpointRegistry } from "../endpoints/endpoint_registry.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { GatewayMetrics } from "../metrics/gateway_metrics.ts";
import type { CrashWatch } from "../quarantine/crash_watch.ts";
import type { Quarantine } from "../quarantine/quarantine.ts";
import type { ServiceRetryBudget } from "../retries/service_retry_budget.ts";
import type { ChainRunner } from "./chain_runner.ts";
import type { EndpointClient } from "./endpoint_call.ts";
import type { ExpectedTimes } from "./expected_times.ts";

/** What requests are served with. */
export interface RequestParts {
  readonly configuration: ConfigurationKeeper;
  readonly book: EndpointRegistry;
  readonly endpoints: EndpointClient;
  /** For the endpoints that this daemon chooses itself. */
  readonly gate: EndpointRateLimiter;
  readonly chains: ChainRunner;
  readonly budget: ServiceRetryBudget;
  readonly crashes: Pick<CrashWatch, "cut">;
  readonly quarantine: Pick<Quarantine, "holds" | "served">;
  readonly times: ExpectedTimes;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  /** Availability zone of this daemon. */
  readonly zone: string;
  /** Daemons that share the fleet's budget of repeats. */
  readonly sharers: () => number;
}
