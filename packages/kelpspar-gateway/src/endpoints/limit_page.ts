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

/** Limits as a daemon knows them. */
export type LimitPage = readonly AgedLimit[];

const amountSchema = z.number().nonnegative();

/** Limits as daemons send them to one another; null for undefined. */
export const limitMessageSchema = z.array(z.object({
  id: z.string(),
  bornAt: z.number().nullable(),
  perSecond: amountSchema.nullable(),
  ageMilliseconds: amountSchema,
}));

/** Limits as sent between daemons. */
export type LimitMessage = z.infer<typeof limitMessageSchema>;

export function toLimitMessage(page: LimitPage): LimitMessage {
  return page.map((one) => ({
    ...one,
    bornAt: one.bornAt ?? null,
    perSecond: one.perSecond ?? null,
  }));
}

export function fromLimitMessage(message: LimitMessage): LimitPage {
  return message.map((one) => ({
    ...one,
    bornAt: one.bornAt ?? undefined,
    perSecond: one.perSecond ?? undefined,
  }));
}
