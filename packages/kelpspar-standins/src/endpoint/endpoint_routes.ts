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
import type { FaultScript } from "./fault_injector.ts";
import { answer, NO_REPLY } from "../http/json_reply.ts";
import { createSilenceRoute } from "../http/silence_route.ts";
import { FaultyWriter } from "./faulty_writer.ts";
import { ResponseWriter } from "./response_writer.ts";

/** What the routes of an endpoint need. */
export interface EndpointRoutesOptions {
  readonly core: EndpointCore;
  readonly script: FaultScript;
  readonly log: ExecutionLog;
  readonly server: () => JsonServer;
  readonly die: () => void;
  readonly leave: () => void;
}

/** The endpoint protocol (docs/PLATFORM.md) and the control of its faults. */
export function createEndpointRoutes(
  options: EndpointRoutesOptions,
): readonly JsonRoute[] {
  const protocol = [
    ...createCallRoutes(options),
    ...options.core.routes,
  ].map((route) => ({ ...route, handler: orHang(route.handler, options) }));
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
        return takeCall(request, { ...options, number: calls });
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

function takeCall(
  request: JsonRequest,
  options: EndpointRoutesOptions & { readonly number: number },
): JsonReply {
  const { core, script, number } = options;
  const writer = new ResponseWriter(request.response, options.server());
  writer.begin();
  const onBreak = core.call(
    request.body as StageCall,
    new FaultyWriter(writer, script),
  );
  writer.registerBreak(onBreak);
  if (number === script.faults.silenceAtCall) options.server().silence();
  if (number === script.faults.dieAtCall) options.die();
  return NO_REPLY;
}

/** Control stays reachable while the protocol hangs. */
function orHang(
  handler: JsonHandler,
  { script }: EndpointRoutesOptions,
): JsonHandler {
  return (request) => script.faults.hang ? NO_REPLY : handler(request);
}

function createControlRoutes(
  options: EndpointRoutesOptions,
): readonly JsonRoute[] {
  const { script, log } = options;
  return [
    {
      method: "POST",
      path: "/control/faults",
      handler: ({ body }) => {
        script.setFaults(body as Partial<EndpointFaults>);
        return answer(script.faults);
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
