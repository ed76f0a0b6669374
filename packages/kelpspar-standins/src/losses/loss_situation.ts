import type { KillSeries } from "./kill_series.ts";
import type { SiteSize } from "./play_on_site.ts";
import type { TargetName } from "./find_broken_targets.ts";
import type { VersionChange } from "./version_changes.ts";
import { ALL_TARGETS, STREAM_TARGETS } from "./find_broken_targets.ts";

/** When the store is away: its connections are reset. */
export type StoreOutage = "none" | "before_kill" | "from_kill";

/** What happens while streams of one service run. */
export interface LossSituation extends SiteSize {
  readonly change: VersionChange;
  /** Whether the versions change before the kill or while no daemon runs. */
  readonly changeTime: "before_kill" | "while_down";
  /** Time from the change, or the start of an outage, to the kill. */
  readonly leadMilliseconds: number;
  readonly kill: KillSeries;
  /** Time from the end of a daemon to its start. */
  readonly downMilliseconds: number;
  readonly storeOutage: StoreOutage;
  /** The targets that are judged. */
  readonly targets: readonly TargetName[];
}

/** Two endpoints of each version. */
const BOTH_VERSIONS = ["v1", "v1", "v1.2", "v1.2"];

const BOTH_SERVE: LossSituation = {
  versions: BOTH_VERSIONS,
  daemons: 6,
  events: 40,
  change: "none",
  changeTime: "before_kill",
  leadMilliseconds: 100,
  kill: "all",
  downMilliseconds: 300,
  storeOutage: "none",
  targets: ALL_TARGETS,
};

const OLD_DRAINS: LossSituation = { ...BOTH_SERVE, change: "drain_old" };

/** All daemons are replaced within the life of a stream. */
const IN_TURN = {
  kill: "one_after_another",
  daemons: 4,
  events: 50,
} as const;

/** Situations by name. */
export const LOSS_SITUATIONS = {
  "old-drains": OLD_DRAINS,
  "old-unlisted": { ...BOTH_SERVE, change: "unlist_old" },
  "old-left": { ...BOTH_SERVE, change: "end_old", leadMilliseconds: 2_000 },
  "old-drains-store-away": { ...OLD_DRAINS, storeOutage: "from_kill" },
  "replaced-while-down": {
    ...BOTH_SERVE,
    versions: ["v1", "v1"],
    change: "replace_old",
    changeTime: "while_down",
    downMilliseconds: 1_500,
  },
  "joined-while-down": {
    ...BOTH_SERVE,
    versions: ["v1", "v1"],
    change: "add_new",
    changeTime: "while_down",
    downMilliseconds: 1_500,
    targets: STREAM_TARGETS,
  },
  "both-serve": BOTH_SERVE,
  "both-serve-killed-twice": { ...BOTH_SERVE, kill: "all_twice" },
  "both-serve-store-away": { ...BOTH_SERVE, storeOutage: "from_kill" },
  "both-serve-store-away-before": {
    ...BOTH_SERVE,
    leadMilliseconds: 2_000,
    storeOutage: "before_kill",
  },
  "old-drains-one-left": { ...OLD_DRAINS, kill: "all_but_one" },
  "old-drains-in-turn": { ...OLD_DRAINS, ...IN_TURN },
  "both-serve-in-turn": { ...BOTH_SERVE, ...IN_TURN },
  "patch-replaces-one": { ...BOTH_SERVE, change: "replace_one_by_patch" },
} as const satisfies Readonly<Record<string, LossSituation>>;

/** The name of a situation. */
export type LossSituationName = keyof typeof LOSS_SITUATIONS;
