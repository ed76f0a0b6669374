import type { ListedVm } from "kelpspar-backends";
import type { WorldEndpointOptions } from "../endpoint/world_endpoint.ts";
import { WorldEndpoint } from "../endpoint/world_endpoint.ts";

const ENGINE_SERVICE = "engine";
const CONCURRENCY = 8;
const DEFAULT_SERVICE_MILLISECONDS = 15;
const SERVICE_MILLISECONDS: Readonly<Record<string, number>> = {
  engine: 120,
  booking: 40,
};

/** Creates the endpoint of a VM. */
export function createEndpoint(
  vm: ListedVm,
  options: Pick<WorldEndpointOptions, "timer" | "random" | "log">,
): WorldEndpoint {
  const isEngine = vm.service === ENGINE_SERVICE;
  return new WorldEndpoint({
    ...options,
    address: { ...vm, endpointId: vm.id },
    kind: isEngine ? "engine" : "plain",
    models: isEngine ? { writer: "1" } : {},
    concurrency: CONCURRENCY,
    serviceMilliseconds: SERVICE_MILLISECONDS[vm.service] ??
      DEFAULT_SERVICE_MILLISECONDS,
  });
}
