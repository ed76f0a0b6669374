import type { DaemonState } from "../state/daemon_state.ts";
import type { StateStore } from "../state/state_store.ts";

/** Rows of the table `drains`, as the table or a peer has them. */
export type OfferedDrains = Partial<
  Pick<DaemonState, "drains" | "takenOut">
>;

/**
 * Takes rows that are newer than those known. What goes wrong otherwise: a
 * peer that lags, or a read that was overtaken, brings an old row back, and a
 * drained endpoint receives calls again.
 */
export function takeDrains(
  state: StateStore<DaemonState>,
  offered: OfferedDrains,
): void {
  const { drains, takenOut } = offered;
  const known = state.read();
  // An update that changes nothing would make its listeners work.
  if (drains !== undefined && drains.version > known.drains.version) {
    state.update(() => ({ drains }));
  }
  if (takenOut !== undefined && takenOut.version > known.takenOut.version) {
    state.update(() => ({ takenOut }));
  }
}
