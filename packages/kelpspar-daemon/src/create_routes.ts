import type { ConfigurationRow } from "./configuration/configuration_row.ts";
import type { DaemonCore } from "./create_core.ts";
import type { DaemonPorts } from "./daemon_ports.ts";
import type { Route } from "./front/route.ts";
import type { Settings } from "./settings/settings_schema.ts";
import { createCallerRoutes } from "./front/caller_routes.ts";
import { createHealthRoutes } from "./front/health_routes.ts";
import { OperatorAccess } from "./front/operator_access.ts";
import { createOperatorRoutes } from "./front/operator_routes.ts";
import { ConfigurationApplier } from "./operators/configuration_applier.ts";
import { applyNewerDrains } from "./operators/apply_newer_drains.ts";
import { createOperatorReports } from "./operators/operator_reports.ts";

/** Dependencies of a daemon's routes. */
export interface CreateRoutesOptions {
  readonly settings: Settings;
  readonly ports: DaemonPorts;
  readonly core: DaemonCore;
  /** Activates an accepted configuration on this daemon immediately. */
  readonly offer: (row: ConfigurationRow) => void;
}

/** Creates all routes of a daemon except the peer API. */
export function createRoutes(options: CreateRoutesOptions): readonly Route[] {
  const { core } = options;
  return [
    ...createHealthRoutes({
      notReadyReason: () => {
        if (!core.fleet.isServing()) return "draining";
        return core.configurationManager.refusal() === undefined
          ? undefined
          : "no_configuration";
      },
    }),
    ...buildCallerRoutes(options),
    ...buildOperatorRoutes(options),
  ];
}

function buildCallerRoutes(options: CreateRoutesOptions): readonly Route[] {
  const { settings, ports, core } = options;
  return createCallerRoutes({
    configuration: core.configuration,
    requests: core.requests,
    waitForConfiguration: () => core.configurationManager.waitWhileHolding(),
    registry: core.registry,
    lookup: core.lookup,
    incarnation: core.incarnation,
    addresses: (zone) => core.fleet.addresses(zone),
    maximumBodyBytes: settings.limits.maximumBodyBytes,
    bodyTimeoutMilliseconds: settings.limits.bodyTimeoutMilliseconds,
    timer: ports.timer,
  });
}

function buildOperatorRoutes(options: CreateRoutesOptions): readonly Route[] {
  const { settings, ports, core, offer } = options;
  const { configuration, state, store, drains, registry } = core;
  return createOperatorRoutes({
    access: new OperatorAccess({
      configuration,
      bootstrapOperatorKeyHash: settings.bootstrapOperatorKeyHash,
    }),
    applier: new ConfigurationApplier(ports),
    store,
    drains,
    registry,
    reports: createOperatorReports({
      daemonId: settings.daemonId,
      incarnation: core.incarnation,
      address: settings.address,
      port: () => core.fleet.port,
      availabilityZone: settings.availabilityZone,
      configuration,
      fleet: core.fleet,
      registry,
      requestMetrics: core.requestMetrics,
      metrics: core.metrics,
      parts: core.parts,
      scheduler: core.scheduler,
      timer: ports.timer,
      startedAt: core.startedAt,
    }),
    current: () => state.read().configurationRow,
    incarnationOf: (kind, id) =>
      state.read().vms.find((vm) => vm.kind === kind && vm.id === id)
        ?.incarnation,
    onAccepted: offer,
    onDrains: (next) => applyNewerDrains(state, { drains: next }),
    maximumBodyBytes: settings.limits.maximumBodyBytes,
    bodyTimeoutMilliseconds: settings.limits.bodyTimeoutMilliseconds,
    timer: ports.timer,
  });
}
