import type { TimerService } from "kelpspar-shared";
import type { AnomalyLog } from "../log/anomaly_log.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { EndpointBook } from "./endpoint_registry.ts";
import type { EndpointLeavings } from "./endpoint_leavings.ts";
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
  readonly leavings: EndpointLeavings;
  readonly timer: TimerService;
  readonly log: GatewayLog;
  readonly anomalies: Pick<AnomalyLog, "note">;
  /** Told of what other daemons are to know. */
  readonly onNews?: () => void;
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
  const { book, limits, leavings, timer, log, anomalies } = options;
  const onNews = options.onNews ?? ((): void => {});
  const lifeOf = ({ id, bornAt }: AnsweringEndpoint): AnsweringEndpoint => ({
    id,
    bornAt: bornAt ?? book.find(id)?.entry.bornAt,
  });
  leavings.registerListener((life) => {
    book.leave(life, "leaving");
    log.info("endpoint leaving", { endpoint: life.id, source: "daemon" });
  });
  const handlers: Handlers = {
    leaving: ({ id, bornAt }) => {
      const known = book.find(id)?.entry;
      const life = bornAt ?? known?.bornAt;
      if (life === undefined) return;
      // Holds for one that isn't in use now too: its entry may be back later.
      book.leave({ id, bornAt: life }, "leaving");
      if (leavings.tell({ id, bornAt: life }, timer.now())) onNews();
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
    limit: (endpoint, { perSecond }) => {
      if (!limits.tell(lifeOf(endpoint), perSecond, timer.now())) return;
      onNews();
      log.info("endpoint names a limit", { endpoint: endpoint.id, perSecond });
    },
    unlimited: (endpoint) => {
      if (!limits.tell(lifeOf(endpoint), undefined, timer.now())) return;
      onNews();
      log.info("endpoint names no limit any more", { endpoint: endpoint.id });
    },
    unreadable_limit: (endpoint, { text }) => {
      if (limits.tellUnreadable(lifeOf(endpoint), timer.now())) onNews();
      anomalies.note("limit_unreadable", { endpoint: endpoint.id, text });
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
