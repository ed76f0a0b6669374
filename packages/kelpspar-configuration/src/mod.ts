export type { ConfigurationChange } from "./difference/configuration_change.ts";
export type { ConfigurationIndex } from "./index/configuration_index.ts";
export type { ParsedConfiguration } from "./parse_configuration.ts";
export type { ConfigurationProblem } from "./problems/configuration_problem.ts";
export type { AccountConfiguration } from "./schema/account_schema.ts";
export type { Configuration } from "./schema/configuration_schema.ts";
export type { LimitsConfiguration } from "./schema/limits_schema.ts";
export type { ModelConfiguration } from "./schema/model_schema.ts";
export type {
  OperatorConfiguration,
  OperatorRole,
} from "./schema/operator_schema.ts";
export type {
  PipelineConfiguration,
  StageConfiguration,
} from "./schema/pipeline_schema.ts";
export type { ServiceConfiguration } from "./schema/service_schema.ts";
export { diffConfigurations } from "./difference/diff_configurations.ts";
export { indexConfiguration } from "./index/index_configuration.ts";
export { normalizeConfiguration } from "./normalize_configuration.ts";
export { mergeOverlay } from "./overlay/merge_overlay.ts";
export { parseConfiguration } from "./parse_configuration.ts";
export { configurationJsonSchema } from "./schema/configuration_json_schema.ts";
export { configurationSchema } from "./schema/configuration_schema.ts";
