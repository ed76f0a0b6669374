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
export { configurationSchema } from "./schema/configuration_schema.ts";
