import type { RandomSource } from "kelpspar-shared";
import type { RouteTarget } from "../configuration/service_route.ts";

/** Picks a service at random by weight; undefined if all weights are 0. */
export function chooseTarget(
  targets: readonly RouteTarget[],
  random: RandomSource,
): string | undefined {
  const totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0);
  if (totalWeight <= 0) return undefined;
  let place = random.next() * totalWeight;
  for (const { service, weight } of targets) {
    place -= weight;
    if (place < 0) return service;
  }
  return targets.at(-1)?.service;
}
