import type {
  ClientAccount,
  ServingConfiguration,
} from "./serving_configuration.ts";
import type { ServiceDefinition } from "./service_definition.ts";
import type { ServiceRoute } from "./service_route.ts";

/** A configuration indexed for lookups. Immutable. */
export class RouteTable {
  readonly configuration: ServingConfiguration;
  readonly #routesByHost = new Map<string, ServiceRoute[]>();
  readonly #services = new Map<string, ServiceDefinition>();
  readonly #serviceNames = new Set<string>();
  readonly #accounts = new Map<string, ClientAccount>();

  constructor(configuration: ServingConfiguration) {
    this.configuration = configuration;
    for (const route of configuration.routes) this.#addRoute(route);
    for (const service of configuration.services) {
      this.#services.set(service.name, service);
      this.#serviceNames.add(service.name);
    }
    for (const account of configuration.accounts ?? []) {
      for (const key of account.callerKeys) this.#accounts.set(key, account);
    }
    for (const routes of this.#routesByHost.values()) {
      routes.sort((left, right) => right.prefix.length - left.prefix.length);
    }
  }

  /** Finds the route of `host` with the longest prefix of `path`. */
  findRoute(host: string, path: string): ServiceRoute | undefined {
    return this.#routesByHost.get(host.toLowerCase())
      ?.find((route) => path.startsWith(route.prefix));
  }

  findService(name: string): ServiceDefinition | undefined {
    return this.#services.get(name);
  }

  /** True if a route, one of its stages or a definition names the service. */
  hasService(name: string): boolean {
    return this.#serviceNames.has(name);
  }

  findAccount(callerKey: string): ClientAccount | undefined {
    return this.#accounts.get(callerKey);
  }

  #addRoute(route: ServiceRoute): void {
    const host = route.host.toLowerCase();
    const routes = this.#routesByHost.get(host);
    if (routes === undefined) this.#routesByHost.set(host, [route]);
    else routes.push(route);
    for (const { service } of [...route.targets, ...route.stages]) {
      this.#serviceNames.add(service);
    }
  }
}
