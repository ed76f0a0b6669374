import type { TimerService } from "kelpspar-shared";
import type { EndpointCore } from "./endpoint_core.ts";
import type {
  EndpointSettings,
  WholeEndpointSettings,
} from "./endpoint_settings.ts";
import type { Execution } from "./execution_log.ts";
import type { RunningEndpoint } from "./running_endpoint.ts";
import { SeededRandom, SystemRandom } from "kelpspar-shared";
import { JsonServer } from "../http/json_server.ts";
import { createEndpointRoutes } from "./endpoint_routes.ts";
import { endpointSettingsSchema } from "./endpoint_settings.ts";
import { Engine } from "./engine/engine.ts";
import { ExecutionLog } from "./execution_log.ts";
import { FaultScript } from "./fault_injector.ts";
import { PlainService } from "./plain/plain_service.ts";

const INCARNATION_BYTES = 6;

/** How an endpoint is started. */
export interface StartEndpointOptions {
  readonly timer: TimerService;
  /** Called as each execution begins. */
  readonly onExecution?: (execution: Execution) => void;
  /** What dying means; default: drops all connections and stops. */
  readonly onDie?: () => void;
  /** Called when it left on request and has finished its calls. */
  readonly onLeft?: () => void;
}

interface CoreParts {
  readonly settings: WholeEndpointSettings;
  readonly incarnation: string;
  readonly timer: TimerService;
  readonly script: FaultScript;
  readonly log: ExecutionLog;
}

const CORES: Readonly<
  Record<WholeEndpointSettings["kind"], (parts: CoreParts) => EndpointCore>
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
 * Starts one endpoint. Throws a ZodError for settings that are not valid, and
 * what `listen` emits.
 */
export async function startEndpoint(
  input: EndpointSettings,
  options: StartEndpointOptions,
): Promise<RunningEndpoint> {
  const settings = endpointSettingsSchema.parse(input);
  const incarnation = settings.incarnation ??
    new SystemRandom().nextHexadecimal(INCARNATION_BYTES);
  const random = new SeededRandom(settings.seed);
  const script = new FaultScript(settings.faults, random);
  const log = new ExecutionLog(options.onExecution);
  const { timer } = options;
  const core = CORES[settings.kind]({
    settings,
    incarnation,
    timer,
    script,
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
    script,
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
    setFaults: (changes) => script.setFaults(changes),
    executions: () => log.report(),
    load: () => core.load(),
    silence: () => server.silence(),
    leave,
    close,
  };
}
