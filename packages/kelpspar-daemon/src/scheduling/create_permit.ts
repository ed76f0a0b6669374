import type { EndpointAddress, TimerService } from "kelpspar-shared";
import type { DecisionParts } from "./decision_parts.ts";
import type { Permit, PermitEnd } from "./permit.ts";
import type { PermitRequest } from "./permit_request.ts";
import { CallCharge } from "kelpspar-decisions/fairness";

/** Options of `createPermit`. */
export interface CreatePermitOptions {
  readonly parts: DecisionParts;
  readonly timer: TimerService;
  readonly request: PermitRequest;
  readonly endpoint: EndpointAddress;
  /** Cost charged to the account in advance, runner-milliseconds. */
  readonly chargedCost: number;
  readonly charge: (difference: number) => void;
  /** Called once with the call's cost and how long it occupied its slot. */
  readonly onEnd: (
    call: { readonly cost: number; readonly heldMilliseconds: number },
  ) => void;
}

/** Records a call as started and returns the permit that ends it. */
export function createPermit(options: CreatePermitOptions): Permit {
  const { parts, timer, request, endpoint } = options;
  const { endpointId } = endpoint;
  const startedAt = timer.now();
  const generation = parts.registry.callStarted({ endpointId, at: startedAt });
  const charge = new CallCharge({
    chargedCost: options.chargedCost,
    startedAt,
  });
  let isReleased = false;
  return {
    endpoint,
    progress: () => options.charge(charge.progress(timer.now())),
    release: (end: PermitEnd): number => {
      if (isReleased) return charge.cost;
      isReleased = true;
      const now = timer.now();
      const stated = end.runnerMilliseconds === undefined
        ? {}
        : { runnerMilliseconds: end.runnerMilliseconds };
      options.charge(charge.finish(now, stated));
      parts.registry.callEnded({
        endpointId,
        generation,
        at: now,
        latencyMilliseconds: end.latencyMilliseconds,
        outcome: end.outcome,
        ...(request.model === undefined ? {} : { model: request.model }),
      });
      options.onEnd({ cost: charge.cost, heldMilliseconds: now - startedAt });
      return charge.cost;
    },
  };
}
