import type { VmList } from "kelpspar-backends";
import type { ActorOptions } from "./actor_options.ts";
import { errorDetails } from "../log/daemon_log.ts";
import { registerJitteredInterval } from "./register_jittered_interval.ts";
import { spawnActor } from "./spawn_actor.ts";

/** Dependencies of the VM list actor. */
export interface VmListActorOptions extends ActorOptions {
  readonly vmList: VmList;
  readonly pollMilliseconds: number;
}

/** Polls the platform's VM list into the state; returns the teardown. */
export function startVmListActor(options: VmListActorOptions): () => void {
  const send = spawnActor<number, { readonly type: "poll" }>(options.system, {
    name: "vm-list",
    initialState: -1,
    handlers: {
      poll: async (sequence) => {
        const answer = await options.vmList.list();
        // Answers may arrive out of order; an older one is ignored.
        if (answer.sequence <= sequence) return sequence;
        options.state.update(() => ({ vms: answer.vms }));
        return answer.sequence;
      },
    },
    onError: (name, error) =>
      options.log.warn(`${name} actor failed`, errorDetails(error)),
  });
  send({ type: "poll" });
  return registerJitteredInterval(() => send({ type: "poll" }), {
    timer: options.timer,
    random: options.random,
    milliseconds: options.pollMilliseconds,
  });
}
