import type { EngineGroupOptions } from "./engine_group_controller_options.ts";
import { RendezvousNodes } from "kelpspar-decisions/routing";
import { mergeTeardowns } from "../state/merge_teardowns.ts";
import { EngineGroup } from "./engine_group_controller.ts";

const TICK_MILLISECONDS = 250;
const CANDIDATES = 3;

/** What the role that orders engines works on. */
export interface OrdersRoleOptions extends Omit<EngineGroupOptions, "service"> {
  readonly daemonId: string;
  /** Every daemon that works, this one included. */
  readonly liveDaemonIds: () => readonly string[];
  readonly planMilliseconds: number;
}

/**
 * Controls the engine groups. Of a large fleet only a few daemons look after
 * each group's lease, the same few for all, so that its row is not read by
 * hundreds. Returns the teardown.
 */
export function startOrdersRole(options: OrdersRoleOptions): () => void {
  const { timer, configuration } = options;
  const groups = new Map<string, EngineGroup>();
  const isCandidate = (service: string): boolean =>
    new RendezvousNodes(options.liveDaemonIds()).best(service, CANDIDATES)
      .includes(options.daemonId);
  const follow = (): void => {
    for (const [id, service] of configuration.services()) {
      const isOurs = service.kind === "engine" && isCandidate(id);
      if (isOurs && !groups.has(id)) {
        groups.set(id, new EngineGroup({ ...options, service: id }));
      }
      if (isOurs || !groups.has(id)) continue;
      groups.get(id)?.stop();
      groups.delete(id);
    }
  };
  const stopAll = (): void => {
    for (const group of groups.values()) group.stop();
  };
  return mergeTeardowns(
    stopAll,
    timer.registerInterval(() => {
      follow();
      for (const group of groups.values()) group.tick();
    }, TICK_MILLISECONDS),
    timer.registerInterval(() => {
      for (const group of groups.values()) void group.plan();
    }, options.planMilliseconds),
  );
}
