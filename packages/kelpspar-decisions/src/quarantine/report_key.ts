import type { CrashReport } from "./crash_report.ts";

/** Identifies a request at an incarnation of an endpoint. */
export function reportKey(
  { fingerprint, crash }: Pick<CrashReport, "fingerprint" | "crash">,
): string {
  return `${fingerprint} ${crash}`;
}
