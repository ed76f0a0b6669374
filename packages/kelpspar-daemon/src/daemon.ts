import type { AddressAnswer } from "kelpspar-shared";
import type { DaemonPorts } from "./daemon_ports.ts";
import type { Settings } from "./settings/settings_schema.ts";
import { start, stop } from "nact";
import { startConfigurationRole } from "./actors/configuration_role.ts";
import { startVmListRole } from "./actors/vm_list_role.ts";
import { ConfigurationStore } from "./configuration/configuration_store.ts";
import { createCallerRoutes } from "./front/caller_routes.ts";
import { HttpFront } from "./front/http_front.ts";
import { createOperatorRoutes } from "./front/operator_routes.ts";
import { errorDetails } from "./log/daemon_log.ts";
import { ConfigurationApplier } from "./operators/configuration_applier.ts";
import { PipelineRunner } from "./requests/pipeline_runner.ts";
import { RequestRegistry } from "./requests/request_registry.ts";
import { RequestService } from "./requests/request_service.ts";
import { RetryingStageRunner } from "./requests/retrying_stage_runner.ts";
import { RoundRobinScheduler } from "./scheduling/round_robin_scheduler.ts";
import { createDaemonState } from "./state/daemon_state.ts";
import { mergeTeardowns } from "./state/merge_teardowns.ts";
import { StateConfigurationReader } from "./state/state_configuration_reader.ts";
import { StateStore } from "./state/state_store.ts";

/** A daemon that runs. */
export interface Daemon {
  readonly port: number;
  readonly incarnation: string;
  /** Stops gracefully; resolves when nothing is in flight. */
  readonly stop: () => Promise<void>;
}

/** Starts a daemon on its ports. Throws `listen_failed`. */
export async function startDaemon(
  settings: Settings,
  ports: DaemonPorts,
): Promise<Daemon> {
  const { timer, random, log } = ports;
  const incarnation = `${settings.daemonId}-${random.nextHexadecimal(6)}`;
  const state = new StateStore(createDaemonState());
  const configuration = new StateConfigurationReader(state);
  const store = new ConfigurationStore({ table: ports.table });
  const system = start();
  const roleOptions = { system, state, timer, random, log };
  const configurationRole = startConfigurationRole({
    ...roleOptions,
    store,
    pollMilliseconds: settings.intervals.configurationPollMilliseconds,
  });
  const stopVmList = startVmListRole({
    ...roleOptions,
    vmList: ports.vmList,
    pollMilliseconds: settings.intervals.vmListPollMilliseconds,
  });
  const scheduler = new RoundRobinScheduler({
    endpoints: () =>
      state.read().vms.filter((vm) =>
        vm.kind === "endpoint" && vm.state === "live"
      ).map((vm) => ({ ...vm, endpointId: vm.id })),
  });
  const stages = new RetryingStageRunner({
    endpoints: ports.endpoints,
    scheduler,
    timer,
    random,
    onForeignRecord: (record) =>
      log.warn("Foreign record dropped", { requestId: record.requestId }),
  });
  const registry = new RequestRegistry({ timer });
  const requests = new RequestService({
    configuration,
    pipelines: new PipelineRunner({ stages, configuration }),
    registry,
    timer,
    random,
    onEnd: (context, final) =>
      log.debug("Request ended", {
        requestId: context.requestId,
        account: context.account.id,
        type: final.type,
      }),
  });
  const addresses = (): AddressAnswer => ({
    daemons: state.read().vms.filter((vm) =>
      vm.kind === "daemon" && vm.state === "live"
    ).map((vm) => ({
      address: vm.address,
      port: vm.port,
      availabilityZone: vm.availabilityZone,
      incarnation: vm.incarnation,
      keyEpoch: 0,
      weight: 1,
    })),
    keepMilliseconds: 5_000,
  });
  const front = new HttpFront({
    address: settings.address,
    port: settings.port,
    routes: [
      ...createCallerRoutes({
        configuration,
        requests,
        registry,
        incarnation,
        addresses,
        maximumBodyBytes: settings.limits.maximumBodyBytes,
        bodyTimeoutMilliseconds: settings.limits.bodyTimeoutMilliseconds,
        timer,
      }),
      ...createOperatorRoutes({
        configuration,
        applier: new ConfigurationApplier({ store, timer }),
        onAccepted: configurationRole.offer,
        reports: {
          status: () => ({
            site: configuration.current()?.site,
            revision: configuration.revision(),
          }),
        },
        bootstrapOperatorKeyHash: settings.bootstrapOperatorKeyHash,
        maximumBodyBytes: settings.limits.maximumBodyBytes,
        bodyTimeoutMilliseconds: settings.limits.bodyTimeoutMilliseconds,
        timer,
      }),
    ],
    maximumHeaderBytes: settings.limits.maximumHeaderBytes,
    headersTimeoutMilliseconds: settings.limits.headersTimeoutMilliseconds,
    requestTimeoutMilliseconds: settings.limits.bodyTimeoutMilliseconds +
      settings.limits.headersTimeoutMilliseconds,
    maximumConnections: settings.limits.maximumConnections,
    timer,
    elsewhere: () => [],
    onInternalError: (error) =>
      log.error("Internal error", errorDetails(error)),
  });
  const port = await front.listen();
  const stopRoles = mergeTeardowns(configurationRole.stop, stopVmList);
  return {
    port,
    incarnation,
    stop: async () => {
      stopRoles();
      await front.close();
      stop(system);
    },
  };
}
