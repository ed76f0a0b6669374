import type { DesiredEngineState, EndpointRole } from "kelpspar-shared";

/** Configured target of a group of engines. */
export interface GroupPlan {
  readonly models: readonly {
    readonly id: string;
    readonly version: string;
    readonly adapters: readonly string[];
  }[];
  /** Number of engines per role; all others are `any`. Default: none. */
  readonly roles?: Readonly<Partial<Record<EndpointRole, number>>>;
}

/**
 * Computes the desired state of each engine of a group. Engines keep their role
 * if possible, so that a change of counts affects as few engines as possible;
 * remaining roles are assigned in the order of ids, so that every holder
 * computes the same plan.
 */
export function planEngineTargets(
  engines: readonly {
    readonly endpointId: string;
    readonly role: EndpointRole;
  }[],
  plan: GroupPlan,
): ReadonlyMap<string, DesiredEngineState> {
  const models = Object.fromEntries(
    plan.models.map(({ id, version }) => [id, version]),
  );
  const adapters = [...new Set(plan.models.flatMap((model) => model.adapters))];
  const roles = assignRoles(engines, plan.roles ?? {});
  return new Map(
    engines.map(({ endpointId }) => {
      const role = roles.get(endpointId) ?? "any";
      return [endpointId, { models, adapters, role }];
    }),
  );
}

function assignRoles(
  engines: readonly {
    readonly endpointId: string;
    readonly role: EndpointRole;
  }[],
  wanted: Readonly<Partial<Record<EndpointRole, number>>>,
): ReadonlyMap<string, EndpointRole> {
  const sorted = engines.toSorted((first, second) =>
    first.endpointId < second.endpointId ? -1 : 1
  );
  const remaining = new Map(Object.entries(wanted) as [EndpointRole, number][]);
  const roles = new Map<string, EndpointRole>();
  for (const { endpointId, role } of sorted) {
    const count = remaining.get(role) ?? 0;
    if (count === 0) continue;
    roles.set(endpointId, role);
    remaining.set(role, count - 1);
  }
  for (const { endpointId } of sorted) {
    if (roles.has(endpointId)) continue;
    const open = [...remaining].find(([, count]) => count > 0);
    if (open === undefined) break;
    roles.set(endpointId, open[0]);
    remaining.set(open[0], open[1] - 1);
  }
  return roles;
}
