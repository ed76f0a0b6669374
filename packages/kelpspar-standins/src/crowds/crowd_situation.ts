import type { StoreFault } from "../wire/store_stand_in.ts";
import type { CrowdKindName } from "./crowd_kinds.ts";

/** Crowds that call a fleet at the same time, and its limits. */
export interface CrowdSituation {
  readonly crowds: readonly {
    readonly kind: CrowdKindName;
    /** Default that of the kind. */
    readonly connections?: number;
  }[];
  readonly daemons: number;
  /** Limit of each process, MiB. */
  readonly memoryMegabytes: number;
  /** Limit of each process. */
  readonly maximumDescriptors: number;
  /** Maximum time that the crowds send; default that of each kind. */
  readonly seconds?: number | undefined;
  /** Time until the first daemon is stopped and started again; default never. */
  readonly stopSeconds?: number | undefined;
  /** Fault of the store while the crowds call. */
  readonly store: StoreFault;
}

/** One daemon with little room, and no crowd yet. */
export const DEFAULT_CROWD_SITUATION: CrowdSituation = {
  crowds: [],
  daemons: 1,
  memoryMegabytes: 210,
  maximumDescriptors: 400,
  store: "none",
};
