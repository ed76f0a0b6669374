import type { AgedLeaving } from "./endpoint_leavings.ts";
import { z } from "zod";

/** What an endpoint said of its limit, and how long ago. */
export interface AgedLimit {
  readonly id: string;
  /** Begin of its life, Unix milliseconds; undefined when not known. */
  readonly bornAt: number | undefined;
  /** Requests a second from all daemons together; undefined for no limit. */
  readonly perSecond: number | undefined;
  /** An age, since daemons' clocks differ. */
  readonly ageMilliseconds: number;
}

/** What a daemon knows of endpoints' limits and leavings. */
export interface NoticePage {
  readonly limits: readonly AgedLimit[];
  readonly leavings: readonly AgedLeaving[];
}

const amountSchema = z.number().nonnegative();

/** A page as daemons send it to one another; null for undefined. */
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
    limits: page.limits.map((one) => ({
      ...one,
      bornAt: one.bornAt ?? null,
      perSecond: one.perSecond ?? null,
    })),
    leavings: [...page.leavings],
  };
}

export function fromNoticeMessage(message: NoticeMessage): NoticePage {
  return {
    limits: message.limits.map((one) => ({
      ...one,
      bornAt: one.bornAt ?? undefined,
      perSecond: one.perSecond ?? undefined,
    })),
    leavings: message.leavings,
  };
}
