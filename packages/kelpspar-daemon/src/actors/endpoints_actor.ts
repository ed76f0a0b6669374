import type { EndpointMonitor } from "../endpoints/endpoint_monitor.ts";
import type { ActorOptions } from "./actor_options.ts";
import { mergeTeardowns } from "../state/merge_teardowns.ts";
import { registerJitteredInterval } from "./register_jittered_interval.ts";
import { errorDetails } from "../log/daemon_log.ts";
import { spawnActor } from "./spawn_actor.ts";

const PROBE_INTERVAL_MILLISECONDS = 250;

/** Dependencies of the endpoints actor. */
export interface EndpointsActorOptions extends ActorOptions {
  readonly endpointMonitor: EndpointMonitor;
  readonly loadPollMilliseconds: number;
}

type EndpointsCommand =
  | { readonly type: "list" }
  | { readonly type: "poll" }
  | { readonly type: "probe" };

/** Polls and probes the endpoints; returns the teardown. */
export function startEndpointsActor(
  options: EndpointsActorOptions,
): () => void {
  const { endpointMonitor, state, timer, random } = options;
  const send = spawnActor<null, EndpointsCommand>(options.system, {
    name: "endpoints",
    initialState: null,
    handlers: {
      list: () => {
        endpointMonitor.applyVmList();
        endpointMonitor.poll();
        return null;
      },
      poll: () => {
        endpointMonitor.poll();
        return null;
      },
      probe: () => {
        endpointMonitor.probe();
        return null;
      },
    },
    onError: (name, error) =>
      options.log.warn(`${name} actor failed`, errorDetails(error)),
  });
  return mergeTeardowns(
    state.registerListener((now, before) => {
      const isChanged = now.vms !== before.vms ||
        now.drains !== before.drains || now.takenOut !== before.takenOut;
      if (isChanged) {
        send({ type: "list" });
      }
    }),
    registerJitteredInterval(() => send({ type: "poll" }), {
      timer,
      random,
      milliseconds: options.loadPollMilliseconds,
    }),
    timer.registerInterval(
      () => send({ type: "probe" }),
      PROBE_INTERVAL_MILLISECONDS,
    ),
  );
}
