import type { DaemonAddress } from "../fleet/fleet_digest.ts";
import { RendezvousNodes } from "kelpspar-decisions/routing";

/**
 * Ranks the daemons that remember who began a stream: the best of each
 * availability zone first, by the rendezvous hash of its attempt's id. The loss
 * of a zone leaves a holder in another one, and daemons whose view of the fleet
 * differs somewhat still rank the same holders high.
 */
export function rankOriginHolders(
  attemptId: string,
  daemons: readonly DaemonAddress[],
): readonly DaemonAddress[] {
  const byId = new Map(daemons.map((daemon) => [daemon.daemonId, daemon]));
  const ranked = new RendezvousNodes(byId.keys())
    .best(attemptId, byId.size)
    .flatMap((id) => byId.get(id) ?? []);
  const zones = new Set<string>();
  const first: DaemonAddress[] = [];
  const others: DaemonAddress[] = [];
  for (const daemon of ranked) {
    (zones.has(daemon.zone) ? others : first).push(daemon);
    zones.add(daemon.zone);
  }
  return [...first, ...others];
}
