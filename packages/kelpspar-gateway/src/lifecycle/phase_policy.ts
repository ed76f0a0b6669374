import type { DaemonPhase } from "./daemon_phase.ts";

/** What a daemon does in one phase. */
export interface PhasePolicy {
  /** Whether health probes find the daemon ready. */
  readonly isReady: boolean;
  /** Whether other daemons are told that it leaves. */
  readonly isLeaving: boolean;
  /** Whether callers may connect. */
  readonly isListening: boolean;
  /** Which requests are accepted. */
  readonly admission: "all" | "those_that_can_end" | "none";
}

/** The policy of each phase. */
export const PHASE_POLICIES: Readonly<Record<DaemonPhase, PhasePolicy>> = {
  serving: {
    isReady: true,
    isLeaving: false,
    isListening: true,
    admission: "all",
  },
  leaving: {
    isReady: false,
    isLeaving: true,
    isListening: true,
    admission: "those_that_can_end",
  },
  closing: {
    isReady: false,
    isLeaving: true,
    isListening: false,
    admission: "those_that_can_end",
  },
  ending: {
    isReady: false,
    isLeaving: true,
    isListening: false,
    admission: "none",
  },
};
