import type { DaemonState } from "../state/daemon_state.ts";
import type { StateStore } from "../state/state_store.ts";

/** Rows of the table `drains`, read from the table or received from a peer. */
export type DrainsUpdate = Partial<
  Pick<DaemonState, "drains" | "takenOut">
>;

/**
 * Applies rows that are newer than the current ones. Otherwise a stale peer or
 * an out-of-order read would restore an old row, and a drained endpoint would
 * receive calls again.
 */
export function applyNewerDrains(
  state: StateStore<DaemonState>,
  drainsUpdate: DrainsUpdate,
): void {
  const { drains, takenOut } = drainsUpdate;
  const current = state.read();
  // Skip updates without a change, since each one runs the listeners.
  if (drains !== undefined && drains.version > current.drains.version) {
    state.update(() => ({ drains }));
  }
  if (takenOut !== undefined && takenOut.version > current.takenOut.version) {
    state.update(() => ({ takenOut }));
  }
}
