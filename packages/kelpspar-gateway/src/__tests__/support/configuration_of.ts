import type { ServiceDefinition } from "../../configuration/service_definition.ts";
import { ConfigurationKeeper } from "../../configuration/configuration_keeper.ts";

/** A configuration of services alone, without routes. */
export function configurationOf(
  services: readonly ServiceDefinition[],
): ConfigurationKeeper {
  const configuration = new ConfigurationKeeper();
  configuration.offer({
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
