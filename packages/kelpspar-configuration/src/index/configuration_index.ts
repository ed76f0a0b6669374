import type { AccountConfiguration } from "../schema/account_schema.ts";
import type { Configuration } from "../schema/configuration_schema.ts";
import type { ModelConfiguration } from "../schema/model_schema.ts";
import type { OperatorConfiguration } from "../schema/operator_schema.ts";
import type { PipelineConfiguration } from "../schema/pipeline_schema.ts";
import type { ServiceConfiguration } from "../schema/service_schema.ts";

/** A configuration with its lookups: an immutable snapshot. */
export interface ConfigurationIndex {
  readonly configuration: Configuration;
  readonly accounts: ReadonlyMap<string, AccountConfiguration>;
  /**
   * By the SHA-256 of a caller key, hexadecimal. Looking a hash up tells
   * nothing of the key by its time, since nobody can choose a key's hash.
   */
  readonly accountsByCallerKeyHash: ReadonlyMap<string, AccountConfiguration>;
  readonly operators: ReadonlyMap<string, OperatorConfiguration>;
  /** By the SHA-256 of an operator key, hexadecimal. */
  readonly operatorsByKeyHash: ReadonlyMap<string, OperatorConfiguration>;
  readonly models: ReadonlyMap<string, ModelConfiguration>;
  readonly services: ReadonlyMap<string, ServiceConfiguration>;
  readonly pipelines: ReadonlyMap<string, PipelineConfiguration>;
  /**
   * By pipeline, then by client account: the account's most urgent priority
   * there. An account that is absent may not use the pipeline.
   */
  readonly access: ReadonlyMap<string, ReadonlyMap<string, number>>;
}
