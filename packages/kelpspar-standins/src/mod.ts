export type { EndpointFaults } from "./endpoint/endpoint_faults.ts";
export type { EndpointSettings } from "./endpoint/endpoint_settings.ts";
export type { Execution, ExecutionReport } from "./endpoint/execution_log.ts";
export type { LoggedOrder } from "./endpoint/engine/order_log.ts";
export type { RunningEndpoint } from "./endpoint/running_endpoint.ts";
export type { StartEndpointOptions } from "./endpoint/start_endpoint.ts";
export type { ServiceFaults } from "./faults/service_faults.ts";
export type { PlatformSettings } from "./platform/platform_settings.ts";
export type {
  PlatformService,
  RunningPlatform,
} from "./platform/running_platform.ts";
export type { ProgramStart } from "./process/process_group.ts";
export type { ProcessExit, RunningProcess } from "./process/running_process.ts";
export type { InMemoryTableOptions } from "./table/in_memory_table.ts";
export type { TableCounters } from "./table/table_counters.ts";
export type { TableFaults } from "./table/table_faults.ts";
export type { LaggingVmListOptions } from "./vm/lagging_vm_list.ts";
export { endpointSettingsSchema } from "./endpoint/endpoint_settings.ts";
export { engineAnswer } from "./endpoint/engine/engine_answer.ts";
export {
  readRequestedTokens,
  readTags,
  readToken,
} from "./endpoint/input_tags.ts";
export { plainAnswer } from "./endpoint/plain/plain_answer.ts";
export { startEndpoint } from "./endpoint/start_endpoint.ts";
export { platformSettingsSchema } from "./platform/platform_settings.ts";
export { startPlatform } from "./platform/start_platform.ts";
export { ProcessGroup } from "./process/process_group.ts";
export { InMemoryTable } from "./table/in_memory_table.ts";
export { LaggingVmList } from "./vm/lagging_vm_list.ts";
export type {
  PartCrashPlan,
  RunnerArrival,
  RunnerFault,
  RunnerRun,
} from "./wire/runner_stand_in.ts";
export type { StageFault } from "./wire/stage_runner_stand_in.ts";
export type { StoreFault } from "./wire/store_stand_in.ts";
export type { PartitionMode } from "./wire/network_partition.ts";
export { LoopbackProxy } from "./wire/loopback_proxy.ts";
export type { WireRouteOptions } from "./wire/wire_route_options.ts";
export type { WireSiteOptions } from "./wire/wire_site.ts";
export {
  CRASHING_PATH_SUFFIX,
  hasPromptPart,
  RunnerStandIn,
} from "./wire/runner_stand_in.ts";
export { StageRunnerStandIn } from "./wire/stage_runner_stand_in.ts";
export { StoreStandIn } from "./wire/store_stand_in.ts";
export { BrittleCapacity } from "./wire/brittle_capacity.ts";
export type { EndlessBytes } from "./wire/endless_bytes.ts";
export { ENDLESS_BYTES } from "./wire/endless_bytes.ts";
export type { EndlessCall } from "./wire/endless_server.ts";
export { EndlessServer } from "./wire/endless_server.ts";
export type { BuiltProgram } from "./wire/build_program.ts";
export { buildProgram } from "./wire/build_program.ts";
export { DaemonProcess } from "./wire/daemon_process.ts";
export type { WorstWindow } from "./repeats/find_worst_window.ts";
export { findWorstWindow } from "./repeats/find_worst_window.ts";
export type { RepeatBasis, ServiceRepeats } from "./repeats/judge_services.ts";
export type { RepeatSituation } from "./repeats/repeat_situation.ts";
export { REPEAT_SITUATIONS } from "./repeats/repeat_situation.ts";
export { runRepeats } from "./repeats/run_repeats.ts";
export {
  findBrokenTargets,
  STREAM_TARGETS,
} from "./losses/find_broken_targets.ts";
export type { TargetName } from "./losses/find_broken_targets.ts";
export type { LossResult } from "./losses/judge_losses.ts";
export type {
  LossSituation,
  LossSituationName,
} from "./losses/loss_situation.ts";
export { LOSS_SITUATIONS } from "./losses/loss_situation.ts";
export { runDrawnLosses } from "./losses/run_drawn_losses.ts";
export { runLosses } from "./losses/run_losses.ts";
export type { CrowdKindName } from "./crowds/crowd_kinds.ts";
export type { CrowdSituation } from "./crowds/crowd_situation.ts";
export { DEFAULT_CROWD_SITUATION } from "./crowds/crowd_situation.ts";
export type { CrowdResult } from "./crowds/crowd_result.ts";
export { runCrowds } from "./crowds/run_crowds.ts";
export { PAUSE_SITUATIONS } from "./pauses/pause_situation.ts";
export { runPauses } from "./pauses/run_pauses.ts";
export { checkStops } from "./stops/check_stops.ts";
export { runStops } from "./stops/run_stops.ts";
export type { StopSituation } from "./stops/stop_situation.ts";
export { DEFAULT_SITUATION } from "./stops/stop_situation.ts";
export {
  CONFIGURATION_APPLY_MILLISECONDS,
  WireSite,
} from "./wire/wire_site.ts";
