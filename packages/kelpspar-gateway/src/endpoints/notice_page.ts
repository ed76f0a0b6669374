import type { AgedLeaving } from "./endpoint_leavings.ts";
import { z } from "zod";

/** An endpoint's reported limit and the age of the report. */
export interface AgedLimit {
  readonly id: string;
  /** Start of the incarnation, Unix milliseconds; undefined when unknown. */
  readonly bornAt: number | undefined;
  /** Requests per second from all daemons together; undefined for no limit. */
  readonly perSecond: number | undefined;
  /** An age rather than a time, because daemons' clocks differ. */
  readonly ageMilliseconds: number;
}

/** The limits and leavings of endpoints that a daemon knows. */
export interface NoticePage {
  readonly limits: readonly AgedLimit[];
  readonly leavings: readonly AgedLeaving[];
}

const amountSchema = z.number().nonnegative();

/** Message format of a page; null stands for undefined. */
export const noticeMessageSchema = z.object({
  limits: z.array(z.object({
    id: z.string(),
    bornAt: z.number().nullable(),
    perSecond: amountSchema.nullable(),
    ageMilliseconds: amountSchema,
  })),
  leavings: z.array(z.object({
    id: z.string(),
    bornAt: z.number(),
    ageMilliseconds: amountSchema,
  })),
});

/** A page as sent between daemons. */
export type NoticeMessage = z.infer<typeof noticeMessageSchema>;

export function toNoticeMessage(page: NoticePage): NoticeMessage {
  return {
    limits: page.limits.map((limit) => ({
      ...limit,
      bornAt: limit.bornAt ?? null,
      perSecond: limit.perSecond ?? null,
    })),
    leavings: [...page.leavings],
  };
}

export function fromNoticeMessage(message: NoticeMessage): NoticePage {
  return {
    limits: message.limits.map((limit) => ({
      ...limit,
      bornAt: limit.bornAt ?? undefined,
      perSecond: limit.perSecond ?? undefined,
    })),
    leavings: message.leavings,
  };
}
