import type { DesiredEngineState, EndpointRole } from "kelpspar-shared";

/** What the configuration wants of a group of engines. */
export interface GroupPlan {
  readonly models: readonly {
    readonly id: string;
    readonly version: string;
    readonly adapters: readonly string[];
  }[];
  /** How many engines take a role; all others are `any`. Default none. */
  readonly roles?: Readonly<Partial<Record<EndpointRole, number>>>;
}

/**
 * The state that each engine of a group should be in. Roles stay with engines
 * that have them, so that a change of numbers moves as few engines as it can;
 * then ids decide, so that every holder plans the same.
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
  const adapters = [...new Set(plan.models.flatMap((one) => one.adapters))];
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
  const sorted = engines.toSorted((left, right) =>
    left.endpointId < right.endpointId ? -1 : 1
  );
  const left = new Map(Object.entries(wanted) as [EndpointRole, number][]);
  const roles = new Map<string, EndpointRole>();
  for (const { endpointId, role } of sorted) {
    const count = left.get(role) ?? 0;
    if (count === 0) continue;
    roles.set(endpointId, role);
    left.set(role, count - 1);
  }
  for (const { endpointId } of sorted) {
    if (roles.has(endpointId)) continue;
    const open = [...left].find(([, count]) => count > 0);
    if (open === undefined) break;
    roles.set(endpointId, open[0]);
    left.set(open[0], open[1] - 1);
  }
  return roles;
}
