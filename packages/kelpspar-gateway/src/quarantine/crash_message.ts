import type { CrashPage } from "kelpspar-decisions/quarantine";
import { z } from "zod";

const ageSchema = z.number().nonnegative();

const clearedSchema = z.object({
  part: z.string(),
  crash: z.string(),
  /** Only if the answer had not ended; daemons of older builds send none. */
  by: z.object({
    fingerprint: z.string(),
    crash: z.string(),
    wroteMilliseconds: z.number(),
  }).optional(),
});

/** Schema of crash reports as daemons send them to each other. */
export const crashMessageSchema = z.object({
  reports: z.array(z.object({
    fingerprint: z.string(),
    crash: z.string(),
    /** Null when the answer had not begun. */
    ranMilliseconds: z.number().nullable(),
    /** Null when no event had arrived; daemons of older builds send none. */
    wroteMilliseconds: z.number().nullish(),
    /** Only if the answer had not begun; daemons of older builds send none. */
    waitedMilliseconds: z.number().optional(),
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
  /**
   * Sent by daemons of older builds alone, whose `cleared` includes answers that
   * had written for 400 ms only.
   */
  clearedWide: z.array(clearedSchema).optional(),
});

/** Reports of crashes as sent between daemons. */
export type CrashMessage = z.infer<typeof crashMessageSchema>;

export function toCrashMessage(page: CrashPage): CrashMessage {
  return {
    reports: page.reports.map((
      { parts, commonParts, soundParts, waitedMilliseconds, ...report },
    ) => ({
      ...report,
      ...(waitedMilliseconds === undefined ? {} : { waitedMilliseconds }),
      ranMilliseconds: report.ranMilliseconds ?? null,
      wroteMilliseconds: report.wroteMilliseconds ?? null,
      ...(parts === undefined ? {} : { parts: [...parts] }),
      ...(commonParts === undefined ? {} : { commonParts: [...commonParts] }),
      ...(soundParts === undefined ? {} : { soundParts: [...soundParts] }),
    })),
    served: [...page.served],
    cleared: (page.cleared ?? []).map(({ by, ...cleared }) => ({
      ...cleared,
      ...(by === undefined ? {} : { by }),
    })),
  };
}

export function fromCrashMessage(message: CrashMessage): CrashPage {
  return {
    served: message.served,
    cleared: (message.clearedWide ?? message.cleared ?? []).map((
      { by, ...cleared },
    ) => ({ ...cleared, ...(by === undefined ? {} : { by }) })),
    reports: message.reports.map((received) => {
      const {
        parts,
        commonParts,
        soundParts,
        software,
        waitedMilliseconds,
        ...report
      } = received;
      return {
        ...report,
        ranMilliseconds: report.ranMilliseconds ?? undefined,
        wroteMilliseconds: report.wroteMilliseconds ?? undefined,
        ...(waitedMilliseconds === undefined ? {} : { waitedMilliseconds }),
        ...(parts === undefined ? {} : { parts }),
        ...(commonParts === undefined ? {} : { commonParts }),
        ...(soundParts === undefined ? {} : { soundParts }),
        ...(software === undefined ? {} : { software }),
      };
    }),
  };
}
