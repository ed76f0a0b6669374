import type { Ref } from "nact";
import type { RandomSource, TimerService } from "kelpspar-shared";
import type { DaemonLog } from "../log/daemon_log.ts";
import type { DaemonState } from "../state/daemon_state.ts";
import type { StateStore } from "../state/state_store.ts";

/** Dependencies of every actor of a daemon. */
export interface ActorOptions {
  readonly system: Ref<never>;
  readonly state: StateStore<DaemonState>;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: DaemonLog;
}
