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

/** Reports exchanged between daemons; uses ages, because clocks differ. */
export interface CrashPage {
  readonly reports: readonly AgedCrashReport[];
  readonly served: readonly AgedServedRequest[];
}
