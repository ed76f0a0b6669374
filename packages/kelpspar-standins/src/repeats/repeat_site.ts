import type {
  ModelServiceOptions,
  StageServiceOptions,
  WireSiteOptions,
} from "../wire/wire_site.ts";
import type { MixedRoute } from "./mixed_route.ts";
import { MOSTLY_RESUMABLE, ONE_CHAIN, SEVERAL_MODELS } from "./mixed_routes.ts";

/** The endpoints of a site and the limits of its retries. */
export interface RepeatSite {
  readonly plainRunners: number;
  readonly modelServices: readonly ModelServiceOptions[];
  readonly stageServices: readonly StageServiceOptions[];
  /** Number of pieces of each stage of a request, on routes without a mix. */
  readonly pieces: readonly number[];
  readonly zones: readonly string[];
  readonly retrySlack: number;
  /** Times that differ from those of other sites. */
  readonly timing: Pick<
    WireSiteOptions,
    "callMilliseconds" | "pieceMilliseconds" | "graceSeconds"
  >;
  /** Routes of a situation whose route is `mixed`. */
  readonly mix: readonly MixedRoute[];
}

const MODELS: Pick<
  RepeatSite,
  "plainRunners" | "modelServices" | "timing" | "mix"
> = {
  plainRunners: 8,
  modelServices: [{ name: "model", runners: 8 }],
  timing: {},
  mix: [],
};

/** Sites by name. */
export const REPEAT_SITES = {
  one_stage_service: {
    ...MODELS,
    stageServices: [{ name: "stage", runners: 6, batch: 16 }],
    pieces: [2, 3],
    zones: ["a"],
    retrySlack: 60,
  },
  three_stage_services: {
    ...MODELS,
    stageServices: [
      { name: "first", runners: 3, batch: 8 },
      { name: "second", runners: 4, batch: 8 },
      { name: "third", runners: 5, batch: 18 },
    ],
    pieces: [1, 6, 16],
    zones: ["a", "b"],
    retrySlack: 56,
  },
  slow_stage_calls: {
    ...MODELS,
    stageServices: [
      { name: "first", runners: 4, batch: 8 },
      { name: "second", runners: 4, batch: 8, room: 25 },
      { name: "third", runners: 4, batch: 18, room: 51 },
    ],
    pieces: [],
    zones: ["a", "b"],
    retrySlack: 56,
    timing: { callMilliseconds: 150, pieceMilliseconds: 8, graceSeconds: 8 },
    mix: ONE_CHAIN,
  },
  mostly_resumable: {
    plainRunners: 3,
    modelServices: [{ name: "model", runners: 9 }],
    stageServices: [
      { name: "first", runners: 3, batch: 8 },
      { name: "second", runners: 5, batch: 18 },
      { name: "third", runners: 5, batch: 30 },
    ],
    pieces: [],
    zones: ["a", "b", "c"],
    retrySlack: 56,
    timing: {},
    mix: MOSTLY_RESUMABLE,
  },
  several_models: {
    plainRunners: 4,
    modelServices: [
      { name: "model", runners: 12 },
      { name: "light-model", runners: 8 },
    ],
    stageServices: [
      { name: "first", runners: 6, batch: 16 },
      { name: "second", runners: 5, batch: 60 },
      { name: "third", runners: 6, batch: 96 },
    ],
    pieces: [],
    zones: ["a", "b", "c", "d"],
    retrySlack: 162,
    timing: {},
    mix: SEVERAL_MODELS,
  },
} as const satisfies Readonly<Record<string, RepeatSite>>;

/** The name of a site. */
export type RepeatSiteName = keyof typeof REPEAT_SITES;
