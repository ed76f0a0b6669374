import type { AccountConfiguration } from "../schema/account_schema.ts";
import type { Configuration } from "../schema/configuration_schema.ts";
import type { ModelConfiguration } from "../schema/model_schema.ts";
import type { OperatorConfiguration } from "../schema/operator_schema.ts";
import type { PipelineConfiguration } from "../schema/pipeline_schema.ts";
import type { ServiceConfiguration } from "../schema/service_schema.ts";

/** An immutable snapshot of a configuration with its lookup maps. */
export interface ConfigurationIndex {
  readonly configuration: Configuration;
  readonly accounts: ReadonlyMap<string, AccountConfiguration>;
  /**
   * By the SHA-256 of a caller key, hexadecimal. The time of a lookup reveals
   * nothing about a key, since an attacker cannot choose a key's hash.
   */
  readonly accountsByCallerKeyHash: ReadonlyMap<string, AccountConfiguration>;
  readonly operators: ReadonlyMap<string, OperatorConfiguration>;
  /** By the SHA-256 of an operator key, hexadecimal. */
  readonly operatorsByKeyHash: ReadonlyMap<string, OperatorConfiguration>;
  readonly models: ReadonlyMap<string, ModelConfiguration>;
  readonly services: ReadonlyMap<string, ServiceConfiguration>;
  readonly pipelines: ReadonlyMap<string, PipelineConfiguration>;
  /**
   * The most urgent priority that an account may use, by pipeline and then by
   * client account. An absent account may not use the pipeline.
   */
  readonly access: ReadonlyMap<string, ReadonlyMap<string, number>>;
}
