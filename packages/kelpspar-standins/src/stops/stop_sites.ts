import type { WireSiteOptions } from "../wire/wire_site.ts";

/** The endpoints of a site on which daemons are stopped. */
export interface StopSite {
  readonly options: WireSiteOptions;
  readonly zones: readonly string[];
  /** Number of pieces of each stage of a request. */
  readonly pieces: readonly number[];
  /** Whether requests share the results of their stages. */
  readonly hasSharedPieces: boolean;
  /** Deadline of callers and timeout of routes, milliseconds. */
  readonly deadlineMilliseconds: number;
}

const RUNNERS = 4;

const THREE_STAGE_SERVICES = {
  options: {
    plainRunners: 1,
    modelRunners: 2 * RUNNERS,
    stageServices: [
      { name: "first", runners: RUNNERS, batch: 8 },
      { name: "second", runners: RUNNERS, batch: 8 },
      { name: "third", runners: RUNNERS, batch: 18 },
    ],
    callMilliseconds: 150,
    pieceMilliseconds: 8,
    room: 4_000,
    objectiveMilliseconds: 1_900,
  },
  zones: ["a", "b"],
  pieces: [1, 6, 16],
  hasSharedPieces: false,
  deadlineMilliseconds: 10_000,
} as const satisfies StopSite;

/** Sites by name. */
export const STOP_SITES = {
  plain: {
    options: { plainRunners: RUNNERS, modelRunners: RUNNERS },
    zones: ["a"],
    pieces: [2, 3],
    hasSharedPieces: true,
    deadlineMilliseconds: 15_000,
  },
  three_stage_services: THREE_STAGE_SERVICES,
  /** Stages take four times what the configuration states. */
  understated_stages: {
    ...THREE_STAGE_SERVICES,
    options: { ...THREE_STAGE_SERVICES.options, statedShare: 1 / 4 },
  },
} as const satisfies Readonly<Record<string, StopSite>>;

/** The name of a site. */
export type StopSiteName = keyof typeof STOP_SITES;
