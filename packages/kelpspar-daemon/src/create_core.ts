import type { DaemonPorts } from "./daemon_ports.ts";
import type { RequestParts } from "./create_request_parts.ts";
import type { DecisionParts } from "./scheduling/decision_parts.ts";
import type { Settings } from "./settings/settings_schema.ts";
import type { DaemonState } from "./state/daemon_state.ts";
import { KeyLedger } from "kelpspar-decisions/claims";
import { ConfigurationManager } from "./configuration/configuration_manager.ts";
import { ConfigurationStore } from "./configuration/configuration_store.ts";
import { createRequestParts } from "./create_request_parts.ts";
import { EndpointMonitor } from "./endpoints/endpoint_monitor.ts";
import { Fleet } from "./fleet/fleet.ts";
import { DaemonMetrics } from "./metrics/daemon_metrics.ts";
import { RequestMetrics } from "./metrics/request_metrics.ts";
import { DrainStore } from "./operators/drain_store.ts";
import { RequestRegistry } from "./requests/request_registry.ts";
import { createDecisionParts } from "./scheduling/decision_parts.ts";
import { FairScheduler } from "./scheduling/fair_scheduler.ts";
import { createDaemonState } from "./state/daemon_state.ts";
import { mergeTeardowns } from "./state/merge_teardowns.ts";
import { StateConfigurationReader } from "./state/state_configuration_reader.ts";
import { StateStore } from "./state/state_store.ts";

/** The components of a daemon, before its timers are started. */
export interface DaemonCore extends RequestParts {
  readonly incarnation: string;
  readonly startedAt: number;
  readonly state: StateStore<DaemonState>;
  readonly configuration: StateConfigurationReader;
  readonly configurationManager: ConfigurationManager;
  readonly store: ConfigurationStore;
  readonly drains: DrainStore;
  readonly takenOut: DrainStore;
  readonly parts: DecisionParts;
  readonly scheduler: FairScheduler;
  readonly registry: RequestRegistry;
  readonly ledger: KeyLedger;
  readonly endpointMonitor: EndpointMonitor;
  readonly fleet: Fleet;
  readonly metrics: DaemonMetrics;
  readonly requestMetrics: RequestMetrics;
  /** Starts the components' timers and listeners; returns the teardown. */
  readonly start: () => () => void;
}

/** Dependencies of a daemon's components. */
export interface CreateCoreOptions {
  readonly settings: Settings;
  readonly ports: DaemonPorts;
  /** The port in use; known once listening. */
  readonly port: () => number;
}

const DEFAULT_CONCURRENCY = 8;
const DEFAULT_ADDRESS_KEEP_MILLISECONDS = 5_000;

/** Creates the components of a daemon. */
export function createCore(options: CreateCoreOptions): DaemonCore {
  const { settings, ports } = options;
  const { timer, random } = ports;
  const { daemonId, availabilityZone, limits } = settings;
  const incarnation = `${daemonId}-${random.nextHexadecimal(6)}`;
  const startedAt = timer.now();
  const state = new StateStore(createDaemonState());
  const configuration = new StateConfigurationReader(state);
  const configurationManager = new ConfigurationManager({
    state,
    timer,
    onActivated: (revision) =>
      ports.log.info("configuration activated", { revision }),
    onUnsupportedRevision: (revision) =>
      ports.log.error("cannot parse configuration revision", { revision }),
  });
  const metrics = new DaemonMetrics(settings.metrics);
  const requestMetrics = new RequestMetrics({ metrics, timer });
  const registry = new RequestRegistry({ timer });
  const ledger = new KeyLedger({
    incarnation,
    startedAt,
    totalBytes: limits.keptResultBytes,
  });
  const parts = createDecisionParts({
    incarnation,
    availabilityZone,
    random,
    assumedConcurrency: (service) =>
      configuration.services().get(service)?.concurrency ??
        DEFAULT_CONCURRENCY,
    limits: () => configuration.current()?.limits,
  });
  const scheduler = new FairScheduler({
    parts,
    configuration,
    availabilityZone,
    timer,
    random,
    liveDaemons: () => fleet.liveDaemons,
    onWait: (request, milliseconds) =>
      requestMetrics.onWait(request, milliseconds),
  });
  const endpointMonitor = new EndpointMonitor({
    daemonId,
    availabilityZone,
    state,
    configuration,
    parts,
    endpoints: ports.endpoints,
    timer,
    members: () => fleet.members,
  });
  const fleet: Fleet = new Fleet({
    daemonId,
    incarnation,
    address: settings.address,
    port: options.port,
    availabilityZone,
    digestMilliseconds: settings.intervals.digestMilliseconds,
    state,
    parts,
    scheduler,
    endpointMonitor,
    revision: () => configuration.revision(),
    keyEpoch: () => ledger.advanceEpoch(timer.now()),
    spareShare: () => 1 - registry.running / limits.maximumRequests,
    addressKeepMilliseconds: () =>
      configuration.current()?.limits.addressKeepMilliseconds ??
        DEFAULT_ADDRESS_KEEP_MILLISECONDS,
    timer,
    random,
  });
  const requestParts = createRequestParts({
    settings,
    ports,
    incarnation,
    configuration,
    parts,
    scheduler,
    registry,
    ledger,
    metrics: requestMetrics,
    fleet,
    configurationManager,
  });
  return {
    ...requestParts,
    incarnation,
    startedAt,
    state,
    configuration,
    configurationManager,
    store: new ConfigurationStore({ table: ports.table }),
    drains: new DrainStore({ table: ports.table, key: "all" }),
    takenOut: new DrainStore({ table: ports.table, key: "orders" }),
    parts,
    scheduler,
    registry,
    ledger,
    endpointMonitor,
    fleet,
    metrics,
    requestMetrics,
    start: () =>
      mergeTeardowns(
        () => requestParts.claims.close(),
        scheduler.start(),
        registerLimitUpdates({ state, ledger, parts, now: () => timer.now() }),
      ),
  };
}

/** Applies the limits of each new configuration; returns the teardown. */
function registerLimitUpdates(options: {
  readonly state: StateStore<DaemonState>;
  readonly ledger: KeyLedger;
  readonly parts: DecisionParts;
  readonly now: () => number;
}): () => void {
  return options.state.registerListener((state, before) => {
    if (state.configuration === before.configuration) return;
    if (state.configuration === undefined) return;
    const { limits } = state.configuration;
    options.ledger.configure(limits, options.now());
    options.parts.registry.configure(limits);
  });
}
