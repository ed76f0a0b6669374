import type { CrashReport } from "./crash_report.ts";

/** A report and the age of the observed crash. */
export interface AgedCrashReport extends CrashReport {
  readonly ageMilliseconds: number;
}

/** A request that was served, and how long ago. */
export interface AgedServedRequest {
  readonly fingerprint: string;
  readonly ageMilliseconds: number;
}

/**
 * A part of a prompt that was answered on after a crash it was at, for long
 * enough to disprove the blame of one window.
 */
export interface ClearedPart {
  readonly part: string;
  readonly crash: string;
}

/** Reports exchanged between daemons; uses ages, because clocks differ. */
export interface CrashPage {
  readonly reports: readonly AgedCrashReport[];
  readonly served: readonly AgedServedRequest[];
  /** Of the narrow blame window. */
  readonly cleared?: readonly ClearedPart[];
  /** Of the wide one. */
  readonly clearedWide?: readonly ClearedPart[];
}
