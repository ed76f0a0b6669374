import type { Configuration } from "../schema/configuration_schema.ts";
import type { ConfigurationIndex } from "./configuration_index.ts";
import { deepFreeze } from "./deep_freeze.ts";

/**
 * Builds the lookup maps of a validated configuration. Freezes the
 * configuration itself, so that no component can modify the input of another's
 * decisions.
 */
export function indexConfiguration(
  configuration: Configuration,
): ConfigurationIndex {
  const { accounts, models, operators, pipelines, services } = deepFreeze(
    configuration,
  );
  return Object.freeze({
    configuration,
    accounts: byId(accounts),
    accountsByCallerKeyHash: new Map(
      accounts.flatMap((account) =>
        account.callerKeyHashes.map((hash) => [hash, account] as const)
      ),
    ),
    operators: byId(operators),
    operatorsByKeyHash: new Map(
      operators.map((operator) => [operator.keyHash, operator]),
    ),
    models: byId(models),
    services: byId(services),
    pipelines: byId(pipelines),
    access: new Map(
      pipelines.map((pipeline) => [
        pipeline.id,
        new Map(
          pipeline.accounts.map((entry) => [entry.account, entry.priority]),
        ),
      ]),
    ),
  });
}

function byId<Part extends { readonly id: string }>(
  parts: readonly Part[],
): ReadonlyMap<string, Part> {
  return new Map(parts.map((part) => [part.id, part]));
}
