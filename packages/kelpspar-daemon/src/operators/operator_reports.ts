import type { Fleet } from "../fleet/fleet.ts";
import type { DaemonMetrics } from "../metrics/daemon_metrics.ts";
import type { RequestMetrics } from "../metrics/request_metrics.ts";
import type { RequestRegistry } from "../requests/request_registry.ts";
import type { DecisionParts } from "../scheduling/decision_parts.ts";
import type { FairScheduler } from "../scheduling/fair_scheduler.ts";
import type { StateConfigurationReader } from "../state/state_configuration_reader.ts";
import type { TimerService } from "kelpspar-shared";
import process from "node:process";

/** Sources of the operator reports. */
export interface OperatorReportsOptions {
  readonly daemonId: string;
  readonly incarnation: string;
  readonly address: string;
  readonly port: () => number;
  readonly availabilityZone: string;
  readonly configuration: StateConfigurationReader;
  readonly fleet: Fleet;
  readonly registry: RequestRegistry;
  readonly requestMetrics: RequestMetrics;
  readonly metrics: DaemonMetrics;
  readonly parts: DecisionParts;
  readonly scheduler: FairScheduler;
  readonly timer: TimerService;
  readonly startedAt: number;
}

/** Reports by their path under `/v1/operator/`. */
export type OperatorReports = Readonly<Record<string, () => unknown>>;

/** Creates the reports of the operator API. */
export function createOperatorReports(
  options: OperatorReportsOptions,
): OperatorReports {
  return {
    status: () => reportStatus(options),
    accounts: () => reportAccounts(options),
    endpoints: () => reportEndpoints(options),
    histograms: () => ({ histograms: options.metrics.summaries() }),
  };
}

function reportStatus(options: OperatorReportsOptions): unknown {
  const { configuration, fleet, registry, timer } = options;
  const self = {
    daemonId: options.daemonId,
    incarnation: options.incarnation,
    address: options.address,
    port: options.port(),
    availabilityZone: options.availabilityZone,
    state: fleet.isServing() ? "live" : "leaving",
    revision: configuration.revision(),
    inFlight: registry.running,
    uptimeMilliseconds: Math.round(timer.now() - options.startedAt),
    ...reportProcess(),
  };
  const others = fleet.members.map((member) => ({
    daemonId: member.daemonId,
    incarnation: member.digest?.incarnation ?? "",
    address: member.address,
    port: member.port,
    availabilityZone: member.availabilityZone,
    state: member.state,
    revision: member.digest?.revision ?? 0,
    spareShare: member.digest?.spareShare,
    silenceMilliseconds: member.silenceMilliseconds,
  }));
  return {
    site: configuration.current()?.site ?? "",
    revision: configuration.revision(),
    daemons: [self, ...others],
  };
}

/** CPU time and memory of the daemon process. */
function reportProcess(): {
  readonly processorMilliseconds: number;
  readonly memoryBytes: number;
} {
  const { user, system } = process.cpuUsage();
  return {
    processorMilliseconds: Math.round((user + system) / 1_000),
    memoryBytes: process.memoryUsage().rss,
  };
}

function reportAccounts(options: OperatorReportsOptions): unknown {
  const { configuration, registry, requestMetrics, scheduler } = options;
  const running = registry.runningByAccount();
  const usage = new Map<string, number>();
  const queued = new Map<string, number>();
  for (const service of scheduler.demands()) {
    for (const { accountId, usageRate, demand } of service.accounts) {
      usage.set(accountId, (usage.get(accountId) ?? 0) + usageRate);
      queued.set(accountId, (queued.get(accountId) ?? 0) + demand);
    }
  }
  const total = [...usage.values()].reduce((sum, rate) => sum + rate, 0);
  const accounts = [...configuration.accounts().values()].map((account) => {
    const tally = requestMetrics.accountTally(account.id);
    const ended = tally.completed + tally.failed + tally.refused;
    return {
      id: account.id,
      share: account.share,
      queued: queued.get(account.id) ?? 0,
      running: running.get(account.id) ?? 0,
      usageShare: total === 0 ? 0 : (usage.get(account.id) ?? 0) / total,
      ...tally,
      attainment: ended === 0 ? 1 : tally.completed / ended,
    };
  });
  return { accounts };
}

function reportEndpoints(options: OperatorReportsOptions): unknown {
  const { parts, timer } = options;
  const endpoints = parts.registry.status(timer.now()).map((status) => ({
    endpointId: status.address.endpointId,
    service: status.address.service,
    availabilityZone: status.address.availabilityZone,
    address: status.address.address,
    port: status.address.port,
    state: status.leavingBy.length > 0 ? "leaving" : status.health,
    reason: status.leavingBy.join(",") || (status.ejectedFor ?? ""),
    running: status.report?.running ?? 0,
    waiting: status.report?.waiting ?? 0,
    concurrency: status.report?.concurrency ?? 0,
    limit: status.limit,
    inFlight: status.inFlight,
    models: status.report?.models ?? {},
  }));
  return { endpoints };
}
