import type { RandomSource } from "kelpspar-shared";
import type { RouteTarget } from "../configuration/service_route.ts";

/** Draws a service by weight; undefined when no target has any. */
export function chooseTarget(
  targets: readonly RouteTarget[],
  random: RandomSource,
): string | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  if (total <= 0) return undefined;
  let place = random.next() * total;
  for (const { service, weight } of targets) {
    place -= weight;
    if (place < 0) return service;
  }
  return targets.at(-1)?.service;
}
