import type { ServiceDefinition } from "../../configuration/service_definition.ts";
import { ActiveConfiguration } from "../../configuration/active_configuration.ts";

/** Creates a configuration that has services but no routes. */
export function configurationOf(
  services: readonly ServiceDefinition[],
): ActiveConfiguration {
  const configuration = new ActiveConfiguration();
  configuration.applyIfNewer({
    version: 1,
    routes: [],
    services,
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
    accounts: undefined,
  });
  return configuration;
}
