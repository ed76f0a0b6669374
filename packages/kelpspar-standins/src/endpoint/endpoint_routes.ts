import type { StageCall } from "kelpspar-shared";
import type { JsonReply } from "../http/json_reply.ts";
import type {
  JsonHandler,
  JsonRequest,
  JsonRoute,
} from "../http/json_route.ts";
import type { JsonServer } from "../http/json_server.ts";
import type { EndpointCore } from "./endpoint_core.ts";
import type { EndpointFaults } from "./endpoint_faults.ts";
import type { ExecutionLog } from "./execution_log.ts";
import type { FaultInjector } from "./fault_injector.ts";
import { answer, NO_REPLY } from "../http/json_reply.ts";
import { createSilenceRoute } from "../http/silence_route.ts";
import { FaultyWriter } from "./faulty_writer.ts";
import { ResponseWriter } from "./response_writer.ts";

/** Dependencies of an endpoint's routes. */
export interface EndpointRoutesOptions {
  readonly core: EndpointCore;
  readonly injector: FaultInjector;
  readonly log: ExecutionLog;
  readonly server: () => JsonServer;
  readonly die: () => void;
  readonly leave: () => void;
}

/** The endpoint protocol (docs/PLATFORM.md) and routes that set faults. */
export function createEndpointRoutes(
  options: EndpointRoutesOptions,
): readonly JsonRoute[] {
  const protocol = [
    ...createCallRoutes(options),
    ...options.core.routes,
  ].map((route) => ({
    ...route,
    handler: withHangFault(route.handler, options),
  }));
  return [...protocol, ...createControlRoutes(options)];
}

function createCallRoutes(
  options: EndpointRoutesOptions,
): readonly JsonRoute[] {
  const { core } = options;
  let calls = 0;
  return [
    {
      method: "POST",
      path: "/v1/calls",
      handler: (request) => {
        calls += 1;
        return handleCall(request, { ...options, number: calls });
      },
    },
    {
      method: "DELETE",
      path: "/v1/calls/*",
      handler: ({ parameters }) => {
        core.cancel(parameters[0] ?? "");
        return answer({});
      },
    },
    {
      method: "GET",
      path: "/v1/load",
      handler: () => answer(core.load()),
    },
  ];
}

function handleCall(
  request: JsonRequest,
  options: EndpointRoutesOptions & { readonly number: number },
): JsonReply {
  const { core, injector, number } = options;
  const writer = new ResponseWriter(request.response, options.server());
  writer.sendHeaders();
  const onDisconnect = core.call(
    request.body as StageCall,
    new FaultyWriter(writer, injector),
  );
  writer.registerDisconnect(onDisconnect);
  if (number === injector.faults.silenceAtCall) options.server().silence();
  if (number === injector.faults.dieAtCall) options.die();
  return NO_REPLY;
}

/** Applies the `hang` fault; control routes stay available under it. */
function withHangFault(
  handler: JsonHandler,
  { injector }: EndpointRoutesOptions,
): JsonHandler {
  return (request) => injector.faults.hang ? NO_REPLY : handler(request);
}

function createControlRoutes(
  options: EndpointRoutesOptions,
): readonly JsonRoute[] {
  const { injector, log } = options;
  return [
    {
      method: "POST",
      path: "/control/faults",
      handler: ({ body }) => {
        injector.setFaults(body as Partial<EndpointFaults>);
        return answer(injector.faults);
      },
    },
    {
      method: "GET",
      path: "/control/executions",
      handler: () => answer(log.report()),
    },
    {
      method: "POST",
      path: "/control/leave",
      handler: () => {
        options.leave();
        return answer({});
      },
    },
    {
      method: "POST",
      path: "/control/die",
      handler: () => {
        options.die();
        return NO_REPLY;
      },
    },
    createSilenceRoute(options.server),
  ];
}
