import type { RandomSource } from "kelpspar-shared";
import type { CrowdKindName } from "./crowd_kinds.ts";
import type { CrowdSituation } from "./crowd_situation.ts";
import { pickRandom } from "../soak/pick_random.ts";
import { CROWD_KINDS } from "./crowd_kinds.ts";
import { DEFAULT_CROWD_SITUATION } from "./crowd_situation.ts";

const MAXIMUM_KINDS = 3;
const MAXIMUM_DAEMONS = 4;
/** Range of the memory at the users' sites, MiB. */
const MINIMUM_MEMORY = 210;
const MAXIMUM_MEMORY = 602;
const MAXIMUM_DESCRIPTORS = [400, 1_000, 4_100];
/** Connections of a crowd, as shares of those of its kind. */
const SIZES = [0.25, 0.5, 1, 1, 2, 4];
const STOP_SHARE = 1 / 3;
const MAXIMUM_STOP_SECONDS = 4;
const STORE_FAULT_SHARE = 1 / 4;

/** Draws a situation with crowds of one to three of the kinds. */
export function drawCrowds(
  random: RandomSource,
  names: readonly CrowdKindName[],
): CrowdSituation {
  const rest = [...names];
  const count = Math.min(rest.length, 1 + random.nextInteger(MAXIMUM_KINDS));
  const crowds = Array.from({ length: count }, () => {
    const [kind] = rest.splice(random.nextInteger(rest.length), 1) as [
      CrowdKindName,
    ];
    const { connections } = CROWD_KINDS[kind];
    const size = pickRandom(SIZES, random);
    return { kind, connections: Math.max(1, Math.round(connections * size)) };
  });
  return {
    ...DEFAULT_CROWD_SITUATION,
    crowds,
    daemons: 1 + random.nextInteger(MAXIMUM_DAEMONS),
    memoryMegabytes: MINIMUM_MEMORY +
      random.nextInteger(MAXIMUM_MEMORY - MINIMUM_MEMORY + 1),
    maximumDescriptors: pickRandom(MAXIMUM_DESCRIPTORS, random),
    stopSeconds: random.next() < STOP_SHARE
      ? random.next() * MAXIMUM_STOP_SECONDS
      : undefined,
    store: random.next() < STORE_FAULT_SHARE
      ? pickRandom(["busy", "reset", "silent"] as const, random)
      : "none",
  };
}
