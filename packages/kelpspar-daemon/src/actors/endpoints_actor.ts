import type { EndpointMonitor } from "../endpoints/endpoint_monitor.ts";
import type { RoleOptions } from "./actor_options.ts";
import { mergeTeardowns } from "../state/merge_teardowns.ts";
import { registerJitteredInterval } from "./register_jittered_interval.ts";
import { errorDetails } from "../log/daemon_log.ts";
import { spawnRole } from "./spawn_actor.ts";

const PROBE_MILLISECONDS = 250;

/** What the role that follows endpoints works on. */
export interface EndpointsRoleOptions extends RoleOptions {
  readonly watch: EndpointMonitor;
  readonly loadPollMilliseconds: number;
}

type EndpointsCommand =
  | { readonly type: "list" }
  | { readonly type: "poll" }
  | { readonly type: "probe" };

/** Follows the endpoints; returns the teardown. */
export function startEndpointsRole(options: EndpointsRoleOptions): () => void {
  const { watch, state, timer, random } = options;
  const send = spawnRole<null, EndpointsCommand>(options.system, {
    name: "endpoints",
    initialState: null,
    handlers: {
      list: () => {
        watch.applyVmList();
        watch.poll();
        return null;
      },
      poll: () => {
        watch.poll();
        return null;
      },
      probe: () => {
        watch.probe();
        return null;
      },
    },
    onError: (name, error) =>
      options.log.warn(`Role ${name} failed`, errorDetails(error)),
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
      PROBE_MILLISECONDS,
    ),
  );
}
