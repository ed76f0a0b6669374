import type { StageServiceOptions } from "../wire/wire_site.ts";

/** The endpoints of a site and the limits of its retries. */
export interface RepeatSite {
  readonly stageServices: readonly StageServiceOptions[];
  /** Number of pieces of each stage of a request. */
  readonly pieces: readonly number[];
  readonly zones: readonly string[];
  readonly retrySlack: number;
}

/** Sites by name. */
export const REPEAT_SITES = {
  one_stage_service: {
    stageServices: [{ name: "stage", runners: 6, batch: 16 }],
    pieces: [2, 3],
    zones: ["a"],
    retrySlack: 60,
  },
  three_stage_services: {
    stageServices: [
      { name: "first", runners: 3, batch: 8 },
      { name: "second", runners: 4, batch: 8 },
      { name: "third", runners: 5, batch: 18 },
    ],
    pieces: [1, 6, 16],
    zones: ["a", "b"],
    retrySlack: 56,
  },
} as const satisfies Readonly<Record<string, RepeatSite>>;

/** The name of a site. */
export type RepeatSiteName = keyof typeof REPEAT_SITES;
