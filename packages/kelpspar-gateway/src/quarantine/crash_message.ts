import type { CrashPage } from "kelpspar-decisions/quarantine";
import { z } from "zod";

const ageSchema = z.number().nonnegative();

/** Schema of crash reports as daemons send them to each other. */
export const crashMessageSchema = z.object({
  reports: z.array(z.object({
    fingerprint: z.string(),
    crash: z.string(),
    /** Null when the answer had not begun. */
    ranMilliseconds: z.number().nullable(),
    ageMilliseconds: ageSchema,
  })),
  served: z.array(z.object({
    fingerprint: z.string(),
    ageMilliseconds: ageSchema,
  })),
});

/** Reports of crashes as sent between daemons. */
export type CrashMessage = z.infer<typeof crashMessageSchema>;

export function toCrashMessage({ reports, served }: CrashPage): CrashMessage {
  return {
    reports: reports.map((report) => ({
      ...report,
      ranMilliseconds: report.ranMilliseconds ?? null,
    })),
    served: [...served],
  };
}

export function fromCrashMessage(message: CrashMessage): CrashPage {
  return {
    served: message.served,
    reports: message.reports.map((report) => ({
      ...report,
      ranMilliseconds: report.ranMilliseconds ?? undefined,
    })),
  };
}
