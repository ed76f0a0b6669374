import type { CrashPage } from "kelpspar-decisions/quarantine";
import { z } from "zod";

const ageSchema = z.number().nonnegative();

const clearedSchema = z.object({ part: z.string(), crash: z.string() });

/** Schema of crash reports as daemons send them to each other. */
export const crashMessageSchema = z.object({
  reports: z.array(z.object({
    fingerprint: z.string(),
    crash: z.string(),
    /** Null when the answer had not begun. */
    ranMilliseconds: z.number().nullable(),
    /** Null when no event had arrived; daemons of older builds send none. */
    wroteMilliseconds: z.number().nullish(),
    parts: z.array(z.string()).optional(),
    /** Daemons of older builds send none. */
    commonParts: z.array(z.string()).optional(),
    /** Daemons of older builds send none. */
    soundParts: z.array(z.string()).optional(),
    software: z.string().optional(),
    ageMilliseconds: ageSchema,
  })),
  served: z.array(z.object({
    fingerprint: z.string(),
    ageMilliseconds: ageSchema,
  })),
  /** Daemons of older builds send none. */
  cleared: z.array(clearedSchema).optional(),
  /** Daemons of older builds don't tell these from the others. */
  clearedWide: z.array(clearedSchema).optional(),
});

/** Reports of crashes as sent between daemons. */
export type CrashMessage = z.infer<typeof crashMessageSchema>;

export function toCrashMessage(page: CrashPage): CrashMessage {
  return {
    reports: page.reports.map((
      { parts, commonParts, soundParts, ...report },
    ) => ({
      ...report,
      ranMilliseconds: report.ranMilliseconds ?? null,
      wroteMilliseconds: report.wroteMilliseconds ?? null,
      ...(parts === undefined ? {} : { parts: [...parts] }),
      ...(commonParts === undefined ? {} : { commonParts: [...commonParts] }),
      ...(soundParts === undefined ? {} : { soundParts: [...soundParts] }),
    })),
    served: [...page.served],
    cleared: [...page.cleared ?? []],
    clearedWide: [...page.clearedWide ?? []],
  };
}

export function fromCrashMessage(message: CrashMessage): CrashPage {
  return {
    served: message.served,
    cleared: message.cleared ?? [],
    clearedWide: message.clearedWide ?? message.cleared ?? [],
    reports: message.reports.map((received) => {
      const { parts, commonParts, soundParts, software, ...report } = received;
      return {
        ...report,
        ranMilliseconds: report.ranMilliseconds ?? undefined,
        wroteMilliseconds: report.wroteMilliseconds ?? undefined,
        ...(parts === undefined ? {} : { parts }),
        ...(commonParts === undefined ? {} : { commonParts }),
        ...(soundParts === undefined ? {} : { soundParts }),
        ...(software === undefined ? {} : { software }),
      };
    }),
  };
}
