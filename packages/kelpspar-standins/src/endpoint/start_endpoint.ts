import type { TimerService } from "kelpspar-shared";
import type { EndpointCore } from "./endpoint_core.ts";
import type {
  EndpointSettings,
  ResolvedEndpointSettings,
} from "./endpoint_settings.ts";
import type { Execution } from "./execution_log.ts";
import type { RunningEndpoint } from "./running_endpoint.ts";
import { SeededRandom, SystemRandom } from "kelpspar-shared";
import { JsonServer } from "../http/json_server.ts";
import { createEndpointRoutes } from "./endpoint_routes.ts";
import { endpointSettingsSchema } from "./endpoint_settings.ts";
import { Engine } from "./engine/engine.ts";
import { ExecutionLog } from "./execution_log.ts";
import { FaultInjector } from "./fault_injector.ts";
import { PlainService } from "./plain/plain_service.ts";

const INCARNATION_BYTES = 6;

/** Dependencies and callbacks of an endpoint. */
export interface StartEndpointOptions {
  readonly timer: TimerService;
  /** Called when an execution starts. */
  readonly onExecution?: (execution: Execution) => void;
  /** Simulates a crash; default: drops all connections and stops. */
  readonly onDie?: () => void;
  /** Called when the endpoint has finished its calls after `leave`. */
  readonly onLeft?: () => void;
}

interface CoreParts {
  readonly settings: ResolvedEndpointSettings;
  readonly incarnation: string;
  readonly timer: TimerService;
  readonly injector: FaultInjector;
  readonly log: ExecutionLog;
}

const CORES: Readonly<
  Record<ResolvedEndpointSettings["kind"], (parts: CoreParts) => EndpointCore>
> = {
  engine: (parts) => new Engine({ ...parts, settings: parts.settings.engine }),
  plain: (parts) =>
    new PlainService({
      ...parts,
      settings: parts.settings.plain,
      service: parts.settings.service,
    }),
};

/**
 * Starts an endpoint. Throws a ZodError for invalid settings, and the error of
 * `listen`.
 */
export async function startEndpoint(
  input: EndpointSettings,
  options: StartEndpointOptions,
): Promise<RunningEndpoint> {
  const settings = endpointSettingsSchema.parse(input);
  const incarnation = settings.incarnation ??
    new SystemRandom().nextHexadecimal(INCARNATION_BYTES);
  const random = new SeededRandom(settings.seed);
  const injector = new FaultInjector(settings.faults, random);
  const log = new ExecutionLog(options.onExecution);
  const { timer } = options;
  const core = CORES[settings.kind]({
    settings,
    incarnation,
    timer,
    injector,
    log,
  });
  const close = async (): Promise<void> => {
    core.close();
    await server.close();
  };
  const leave = async (): Promise<void> => {
    await core.leave();
    await server.finishResponses();
    await close();
    options.onLeft?.();
  };
  const server: JsonServer = new JsonServer(createEndpointRoutes({
    core,
    injector,
    log,
    server: () => server,
    die: options.onDie ?? (() => void close()),
    leave: () => void leave(),
  }));
  const port = await server.listen(settings.address, settings.port);
  return {
    address: settings.address,
    port,
    incarnation,
    setFaults: (changes) => injector.setFaults(changes),
    executions: () => log.report(),
    load: () => core.load(),
    silence: () => server.silence(),
    leave,
    close,
  };
}
