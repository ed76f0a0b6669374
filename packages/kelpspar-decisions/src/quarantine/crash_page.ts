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

/** A part of a prompt that was answered on after a crash it was at. */
export interface ClearedPart {
  readonly part: string;
  readonly crash: string;
  /** Undefined if an answer ended whole, which nothing disproves later. */
  readonly by?: OngoingAnswer;
}

/** An answer that hadn't ended. It proves nothing if its endpoint crashes. */
export interface OngoingAnswer {
  readonly fingerprint: string;
  /** The crash that would end it. */
  readonly crash: string;
  /** For how long it had written events. */
  readonly wroteMilliseconds: number;
}

/** Reports exchanged between daemons; uses ages, because clocks differ. */
export interface CrashPage {
  readonly reports: readonly AgedCrashReport[];
  readonly served: readonly AgedServedRequest[];
  readonly cleared?: readonly ClearedPart[];
}
