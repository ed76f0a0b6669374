import type { WireRoute } from "../wire/wire_caller.ts";
import type { StoreFault } from "../wire/store_stand_in.ts";
import type { StopSiteName } from "./stop_sites.ts";
import type { StreamLengths } from "./stream_lengths.ts";

/** A signal that a stopping daemon gets besides the first SIGTERM. */
export interface ExtraSignal {
  readonly signal: "SIGHUP" | "SIGTERM";
  /** Time after the SIGTERM, or before it if negative, milliseconds. */
  readonly afterMilliseconds: number;
}

/** A series of planned stops, and the requests that are sent meanwhile. */
export interface StopSituation {
  readonly site: StopSiteName;
  /** Time from SIGTERM until a daemon is killed, seconds. */
  readonly graceSeconds: number;
  readonly daemons: number;
  /** Daemons that are stopped in each round. */
  readonly stopped: number;
  /** Time between two stops, milliseconds. */
  readonly gapMilliseconds: number;
  readonly rounds: number;
  readonly route: WireRoute;
  /** Whether requests have stages that are run before them. */
  readonly hasStages: boolean;
  /** Range of the time that runners take for an answer, milliseconds. */
  readonly answerMilliseconds: readonly [minimum: number, maximum: number];
  /** Lengths of streams; undefined to draw from `answerMilliseconds`. */
  readonly streamLengths: StreamLengths | undefined;
  /** Length of whole answers. */
  readonly bytes: number;
  /** Time that callers take to read an answer, milliseconds. */
  readonly readMilliseconds: number;
  readonly perSecond: number;
  /** Requests that run at each runner at the same time; others wait. */
  readonly slots: number | undefined;
  readonly signals: readonly ExtraSignal[];
  /** Callers, of six, that use a daemon until its process is gone. */
  readonly stickyCallers: number;
  /**
   * Time between two requests that are sent to each stopping daemon until its
   * process is gone, besides `perSecond`; undefined for none, milliseconds.
   */
  readonly followingMilliseconds: number | undefined;
  /** Time that callers send before the first stop, besides one answer. */
  readonly warmUpMilliseconds: number;
  /** Time between the end of a process and its next start. */
  readonly restartMilliseconds: number;
  /**
   * Time after its restart at which each daemon is stopped once more; undefined
   * for never, milliseconds.
   */
  readonly againMilliseconds: number | undefined;
  /** Fault of the store during the stops. */
  readonly store: StoreFault;
  /** Factor on the time of stage calls during the stops. */
  readonly stageSlowdown: number;
}

/** Six daemons that all stop while callers send streams. */
export const DEFAULT_SITUATION: StopSituation = {
  site: "plain",
  graceSeconds: 8,
  daemons: 6,
  stopped: 6,
  gapMilliseconds: 400,
  rounds: 2,
  route: "stream",
  hasStages: false,
  answerMilliseconds: [6_000, 6_000],
  streamLengths: undefined,
  bytes: 0,
  readMilliseconds: 0,
  perSecond: 30,
  slots: undefined,
  signals: [],
  stickyCallers: 3,
  followingMilliseconds: undefined,
  warmUpMilliseconds: 2_000,
  restartMilliseconds: 500,
  againMilliseconds: undefined,
  store: "none",
  stageSlowdown: 1,
};
