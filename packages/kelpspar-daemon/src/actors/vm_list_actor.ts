import type { VmList } from "kelpspar-backends";
import type { RoleOptions } from "./actor_options.ts";
import { errorDetails } from "../log/daemon_log.ts";
import { registerJitteredInterval } from "./register_jittered_interval.ts";
import { spawnRole } from "./spawn_actor.ts";

/** What the role that follows the VM list works on. */
export interface VmListRoleOptions extends RoleOptions {
  readonly vmList: VmList;
  readonly pollMilliseconds: number;
}

/** Follows the platform's list of VMs; returns the teardown. */
export function startVmListRole(options: VmListRoleOptions): () => void {
  const send = spawnRole<number, { readonly type: "poll" }>(options.system, {
    name: "vm-list",
    initialState: -1,
    handlers: {
      poll: async (sequence) => {
        const answer = await options.vmList.list();
        // Two answers may overtake one another; an older one changes nothing.
        if (answer.sequence <= sequence) return sequence;
        options.state.update(() => ({ vms: answer.vms }));
        return answer.sequence;
      },
    },
    onError: (name, error) =>
      options.log.warn(`Role ${name} failed`, errorDetails(error)),
  });
  send({ type: "poll" });
  return registerJitteredInterval(() => send({ type: "poll" }), {
    timer: options.timer,
    random: options.random,
    milliseconds: options.pollMilliseconds,
  });
}
