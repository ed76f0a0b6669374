import type { TimerService } from "kelpspar-shared";
import type { ServiceFaults } from "../faults/service_faults.ts";
import type { JsonRoute } from "../http/json_route.ts";
import type {
  PlatformSettings,
  ResolvedPlatformSettings,
} from "./platform_settings.ts";
import type { PlatformService, RunningPlatform } from "./running_platform.ts";
import { SeededRandom } from "kelpspar-shared";
import { RateLimit } from "../faults/rate_limit.ts";
import { ServiceFaultControl } from "../faults/service_fault_control.ts";
import { JsonServer } from "../http/json_server.ts";
import { createSilenceRoute } from "../http/silence_route.ts";
import { createObjectRoutes } from "../object/object_routes.ts";
import { InMemoryTable } from "../table/in_memory_table.ts";
import { createTableRoutes } from "../table/table_routes.ts";
import { LaggingVmList } from "../vm/lagging_vm_list.ts";
import { createVmControlRoutes, createVmRoutes } from "../vm/vm_routes.ts";
import { createWeightRoutes } from "../weight/weight_routes.ts";
import { platformSettingsSchema } from "./platform_settings.ts";

interface PlatformParts {
  readonly table: InMemoryTable;
  readonly objects: Map<string, string>;
  readonly vms: LaggingVmList;
  readonly servers: Readonly<Record<PlatformService, JsonServer>>;
}

/**
 * Starts the table service, the object store, the weight store and the VM
 * list, each on its own port. Throws a ZodError for invalid settings, and the
 * error of `listen`.
 */
export async function startPlatform(
  input: PlatformSettings,
  options: { readonly timer: TimerService },
): Promise<RunningPlatform> {
  const settings = platformSettingsSchema.parse(input);
  const parts = createParts(settings, options.timer);
  const ports = await listen(settings, parts.servers);
  const toOrigin = (service: PlatformService): string =>
    `http://${settings.address}:${ports[service]}`;
  return {
    ports,
    origins: {
      table: toOrigin("table"),
      objects: toOrigin("objects"),
      weights: toOrigin("weights"),
      vms: toOrigin("vms"),
    },
    table: parts.table,
    objects: parts.objects,
    vms: parts.vms,
    silence: (service) => parts.servers[service].silence(),
    close: async () => {
      const servers = Object.values(parts.servers);
      await Promise.all(servers.map((server) => server.close()));
    },
  };
}

/** Creates services with independent seeds, so that none affects another. */
function createParts(
  settings: ResolvedPlatformSettings,
  timer: TimerService,
): PlatformParts {
  const { seed } = settings;
  const random = new SeededRandom(seed);
  const { faults } = settings.table;
  const table = new InMemoryTable({ timer, random, faults });
  const objects = new Map<string, string>();
  const vms = new LaggingVmList({ timer, ...settings.vms });
  const loadLimit = new RateLimit(timer, settings.weights.loadsPerSecond);
  const control = (offset: number, faults: ServiceFaults) => {
    const random = new SeededRandom(seed + offset);
    return new ServiceFaultControl({ timer, random, faults });
  };
  const objectControl = control(1, settings.objects.faults);
  const weightControl = control(2, settings.weights.faults);
  const vmControl = control(3, settings.vms.faults);
  const servers = {
    table: createServer(createTableRoutes(table.scripted)),
    objects: createServer(objectControl.wrap(createObjectRoutes(objects))),
    weights: createServer(weightControl.wrap(createWeightRoutes(loadLimit))),
    vms: createServer([
      ...vmControl.wrap(createVmRoutes(vms)),
      ...createVmControlRoutes(vms),
    ]),
  };
  return { table, objects, vms, servers };
}

async function listen(
  settings: ResolvedPlatformSettings,
  servers: PlatformParts["servers"],
): Promise<RunningPlatform["ports"]> {
  const start = (service: PlatformService): Promise<number> =>
    servers[service].listen(settings.address, settings[service].port);
  return {
    table: await start("table"),
    objects: await start("objects"),
    weights: await start("weights"),
    vms: await start("vms"),
  };
}

function createServer(routes: readonly JsonRoute[]): JsonServer {
  const server: JsonServer = new JsonServer([
    ...routes,
    createSilenceRoute(() => server),
  ]);
  return server;
}
