import type { RandomSource } from "kelpspar-shared";
import type { MixedRoute } from "./mixed_route.ts";
import type { RepeatSituation } from "./repeat_situation.ts";
import { REPEAT_SITES } from "./repeat_site.ts";

/** What a caller asks for. */
export interface DrawnRequest {
  /** Name of the route. */
  readonly route: string;
  readonly isGet: boolean;
  readonly isResumable: boolean;
  /** Number of pieces of each stage. */
  readonly pieces: readonly number[];
  /** The services that it needs. */
  readonly services: ReadonlySet<string>;
}

/** Draws the next request of a situation. */
export function drawRequest(
  situation: RepeatSituation,
  random: RandomSource,
): DrawnRequest {
  const { route, site } = situation;
  const { mix, stageServices, pieces } = REPEAT_SITES[site];
  if (route === "mixed") return drawMixed(mix, random);
  const isGet = route === "often";
  return {
    route,
    isGet,
    isResumable: route === "resumed",
    pieces,
    services: new Set(
      isGet ? ["plain"] : ["model", ...stageServices.map(({ name }) => name)],
    ),
  };
}

function drawMixed(
  mix: readonly MixedRoute[],
  random: RandomSource,
): DrawnRequest {
  const sum = mix.reduce((total, { weight }) => total + weight, 0);
  let left = random.next() * sum;
  const drawn = mix.find(({ weight }) => (left -= weight) < 0) ?? mix[0];
  if (drawn === undefined) throw new TypeError("the site has no mix of routes");
  const pieces = drawn.stages.map((stage) => {
    const [fewest, most] = stage.pieces;
    if (random.next() >= stage.share) return 0;
    return fewest + random.nextInteger(most - fewest + 1);
  });
  const called = drawn.stages.filter((_, index) => (pieces[index] ?? 0) > 0);
  return {
    route: drawn.name,
    isGet: drawn.kind === "idempotent",
    isResumable: drawn.isResumable,
    pieces,
    services: new Set([
      drawn.service,
      ...called.map(({ service }) => service),
    ]),
  };
}
