import type { Ref } from "nact";
import type { RandomSource, TimerService } from "kelpspar-shared";
import type { DaemonLog } from "../log/daemon_log.ts";
import type { DaemonState } from "../state/daemon_state.ts";
import type { StateStore } from "../state/state_store.ts";

/** What every role of a daemon is started with. */
export interface RoleOptions {
  readonly system: Ref<never>;
  readonly state: StateStore<DaemonState>;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: DaemonLog;
}
