import type { TimerService } from "kelpspar-shared";
import type { AnomalyLog } from "../log/anomaly_log.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { EndpointBook } from "./endpoint_book.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";
import type {
  AnsweringEndpoint,
  EndpointNotice,
  EndpointNoticeListener,
} from "./endpoint_notices.ts";

/** Upper limit of Retry-After, so that a wrong value is not for good. */
const LONGEST_PAUSE_MILLISECONDS = 600_000;

/** What notices act on. */
export interface NoticeHandlersOptions {
  readonly book: EndpointBook;
  readonly limits: EndpointLimits;
  readonly timer: TimerService;
  readonly log: GatewayLog;
  readonly anomalies: Pick<AnomalyLog, "note">;
}

type Handlers = {
  readonly [Type in EndpointNotice["type"]]: (
    endpoint: AnsweringEndpoint,
    notice: Extract<EndpointNotice, { type: Type }>,
  ) => void;
};

/**
 * Takes notices of endpoints into the book. Leaving is final for the life that
 * told it, whatever the list of endpoints says later.
 */
export function createNoticeListener(
  options: NoticeHandlersOptions,
): EndpointNoticeListener {
  const { book, limits, timer, log, anomalies } = options;
  const handlers: Handlers = {
    leaving: ({ id, bornAt }) => {
      const known = book.find(id)?.entry;
      const life = bornAt ?? known?.bornAt;
      if (life === undefined) return;
      // Holds for one that isn't in use now too: its entry may be back later.
      book.leave({ id, bornAt: life }, "leaving");
      if (known?.bornAt !== life) return;
      log.info("endpoint leaving", { endpoint: id, source: "answer" });
    },
    pause: ({ id }, { milliseconds }) => {
      const now = timer.now();
      const until = now + Math.min(milliseconds, LONGEST_PAUSE_MILLISECONDS);
      book.find(id)?.pause(until);
      log.info("endpoint wants a pause", { endpoint: id, milliseconds });
    },
    cold: ({ id }, { milliseconds }) => {
      book.find(id)?.tellCold(milliseconds, timer.now());
    },
    limit: ({ id, bornAt }, { perSecond }) => {
      const life = { id, bornAt: bornAt ?? book.find(id)?.entry.bornAt };
      if (!limits.tell(life, perSecond, timer.now())) return;
      log.info("endpoint names a limit", { endpoint: id, perSecond });
    },
    unlimited: ({ id, bornAt }) => {
      const life = { id, bornAt: bornAt ?? book.find(id)?.entry.bornAt };
      if (!limits.tell(life, undefined, timer.now())) return;
      log.info("endpoint names no limit any more", { endpoint: id });
    },
    unreadable_limit: ({ id, bornAt }, { text }) => {
      const life = { id, bornAt: bornAt ?? book.find(id)?.entry.bornAt };
      limits.tellUnreadable(life, timer.now());
      anomalies.note("limit_unreadable", { endpoint: id, text });
    },
    unreadable_cold: ({ id }, { text }) => {
      anomalies.note("cold_unreadable", { endpoint: id, text });
    },
    unreadable_pause: ({ id }, { text }) => {
      anomalies.note("pause_unreadable", { endpoint: id, text });
    },
  };
  return (endpoint, notice) => {
    const handler = handlers[notice.type] as (
      endpoint: AnsweringEndpoint,
      notice: EndpointNotice,
    ) => void;
    handler(endpoint, notice);
  };
}
