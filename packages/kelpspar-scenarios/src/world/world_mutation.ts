import type { DaemonCore, DaemonPorts, drainDaemon } from "kelpspar-daemon";

/** What is taken away from the daemons at the world's seams. */
export interface WorldMutation {
  /** Replaces ports of every daemon. */
  readonly ports?: (ports: DaemonPorts) => DaemonPorts;
  /** Changes a core before its roles start. */
  readonly core?: (core: DaemonCore) => void;
  /** Callers do not say that they sent the same key before. */
  readonly dropsResubmission?: boolean;
  /** Takes the place of the planned stop. */
  readonly drain?: typeof drainDaemon;
}
