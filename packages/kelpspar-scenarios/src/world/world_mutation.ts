import type { DaemonCore, DaemonPorts, drainDaemon } from "kelpspar-daemon";

/** Disables safeguards of the daemons through the world's extension points. */
export interface WorldMutation {
  /** Replaces ports of every daemon. */
  readonly ports?: (ports: DaemonPorts) => DaemonPorts;
  /** Modifies a core before its actors start. */
  readonly core?: (core: DaemonCore) => void;
  /** Callers omit the `resubmission` flag. */
  readonly dropsResubmission?: boolean;
  /** Replaces the planned stop. */
  readonly drain?: typeof drainDaemon;
}
