import type { EngineGroupControllerOptions } from "./engine_group_controller_options.ts";
import { RendezvousNodes } from "kelpspar-decisions/routing";
import { mergeTeardowns } from "../state/merge_teardowns.ts";
import { EngineGroupController } from "./engine_group_controller.ts";

const TICK_MILLISECONDS = 250;
const CANDIDATE_COUNT = 3;

/** Dependencies of the engine group controllers. */
export interface EngineGroupControllersOptions
  extends Omit<EngineGroupControllerOptions, "service"> {
  readonly daemonId: string;
  /** The ids of the live daemons that serve, this one included if it does. */
  readonly liveDaemonIds: () => readonly string[];
  readonly planMilliseconds: number;
}

/**
 * Starts a controller for each engine group for which this daemon is a
 * candidate. Rendezvous hashing selects a few candidates per group, the same on
 * every daemon, so that hundreds of daemons do not poll each lease row.
 * Returns the teardown.
 */
export function startEngineGroupControllers(
  options: EngineGroupControllersOptions,
): () => void {
  const { timer, configuration } = options;
  const controllers = new Map<string, EngineGroupController>();
  const isCandidate = (service: string): boolean =>
    new RendezvousNodes(options.liveDaemonIds()).best(service, CANDIDATE_COUNT)
      .includes(options.daemonId);
  const follow = (): void => {
    for (const [id, service] of configuration.services()) {
      const isControlled = service.kind === "engine" && isCandidate(id);
      if (isControlled && !controllers.has(id)) {
        controllers.set(
          id,
          new EngineGroupController({ ...options, service: id }),
        );
      }
      if (isControlled || !controllers.has(id)) continue;
      controllers.get(id)?.stop();
      controllers.delete(id);
    }
  };
  const stopAll = (): void => {
    for (const group of controllers.values()) group.stop();
  };
  return mergeTeardowns(
    stopAll,
    timer.registerInterval(() => {
      follow();
      for (const group of controllers.values()) group.tick();
    }, TICK_MILLISECONDS),
    timer.registerInterval(() => {
      for (const group of controllers.values()) void group.plan();
    }, options.planMilliseconds),
  );
}
