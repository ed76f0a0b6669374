import type { TimerService } from "kelpspar-shared";
import type { AnomalyLog } from "../log/anomaly_log.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { BrittleServices } from "./brittle_services.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { EndpointLeavings } from "./endpoint_leavings.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";
import type {
  AnsweringEndpoint,
  EndpointNotice,
  EndpointNoticeListener,
} from "./endpoint_notices.ts";

/** Upper bound for Retry-After, so that a wrong value has no lasting effect. */
const MAXIMUM_PAUSE_MILLISECONDS = 600_000;
/** Assumed for a brittle endpoint whose report can't be parsed. */
const UNREADABLE_REFUSALS_PER_SECOND = 1;

/** Dependencies of `createNoticeListener`. */
export interface NoticeHandlersOptions {
  readonly registry: EndpointRegistry;
  readonly limits: EndpointLimits;
  readonly leavings: EndpointLeavings;
  readonly brittle: BrittleServices;
  readonly timer: TimerService;
  readonly log: GatewayLog;
  readonly anomalies: Pick<AnomalyLog, "note">;
  /** Called after a change that other daemons need. */
  readonly onChange?: () => void;
}

type Handlers = {
  readonly [Type in EndpointNotice["type"]]: (
    endpoint: AnsweringEndpoint,
    notice: Extract<EndpointNotice, { type: Type }>,
  ) => void;
};

/**
 * Creates a listener that applies endpoint notices to the registry. Leaving is
 * final for the incarnation that reported it, whatever the endpoint list says
 * later.
 */
export function createNoticeListener(
  options: NoticeHandlersOptions,
): EndpointNoticeListener {
  const { registry, limits, leavings, timer, log, anomalies } = options;
  const onChange = options.onChange ?? ((): void => {});
  const identify = (
    { id, bornAt }: AnsweringEndpoint,
  ): AnsweringEndpoint => ({
    id,
    bornAt: bornAt ?? registry.find(id)?.entry.bornAt,
  });
  leavings.registerListener((incarnation) => {
    registry.retire(incarnation, "leaving");
    log.info("endpoint leaving", {
      endpoint: incarnation.id,
      source: "daemon",
    });
  });
  const recordBrittle = (id: string, refusalsPerSecond: number): void => {
    const service = registry.find(id)?.entry.service;
    if (service === undefined) return;
    const isNew = options.brittle.record(
      service,
      refusalsPerSecond,
      timer.now(),
    );
    if (isNew) {
      log.info("endpoints are brittle", {
        service,
        endpoint: id,
        refusalsPerSecond,
      });
    }
  };
  const handlers: Handlers = {
    leaving: ({ id, bornAt }) => {
      const known = registry.find(id)?.entry;
      const startedAt = bornAt ?? known?.bornAt;
      if (startedAt === undefined) return;
      // Also recorded for an endpoint that isn't in use, whose entry may
      // reappear.
      registry.retire({ id, bornAt: startedAt }, "leaving");
      if (leavings.record({ id, bornAt: startedAt }, timer.now())) onChange();
      if (known?.bornAt !== startedAt) return;
      log.info("endpoint leaving", { endpoint: id, source: "answer" });
    },
    pause: ({ id }, { milliseconds }) => {
      const now = timer.now();
      const until = now + Math.min(milliseconds, MAXIMUM_PAUSE_MILLISECONDS);
      registry.find(id)?.pause(until);
      log.info("endpoint wants a pause", { endpoint: id, milliseconds });
    },
    cold: ({ id }, { milliseconds }) => {
      registry.find(id)?.setCold(milliseconds, timer.now());
    },
    limit: (endpoint, { perSecond }) => {
      if (!limits.record(identify(endpoint), perSecond, timer.now())) return;
      onChange();
      log.info("endpoint names a limit", { endpoint: endpoint.id, perSecond });
    },
    unlimited: (endpoint) => {
      if (!limits.record(identify(endpoint), undefined, timer.now())) return;
      onChange();
      log.info("endpoint names no limit any more", { endpoint: endpoint.id });
    },
    brittle: ({ id }, { refusalsPerSecond }) => {
      recordBrittle(id, refusalsPerSecond);
    },
    unreadable_brittle: ({ id }, { text }) => {
      recordBrittle(id, UNREADABLE_REFUSALS_PER_SECOND);
      anomalies.note("brittle_unreadable", { endpoint: id, text });
    },
    load: ({ id, bornAt }, { report }) => {
      const state = registry.find(id);
      // A report of an earlier incarnation says nothing about this one.
      if (state === undefined || state.entry.bornAt !== bornAt) return;
      const { service } = state.load;
      const wasActive = service.isActive;
      state.load.record(report, timer.now());
      if (service.isActive === wasActive) return;
      log.info("endpoint load in use", {
        service: state.entry.service,
        endpoint: id,
      });
    },
    unreadable_load: ({ id }, { text }) => {
      anomalies.note("load_unreadable", { endpoint: id, text });
    },
    unreadable_limit: (endpoint, { text }) => {
      if (limits.recordUnreadable(identify(endpoint), timer.now())) onChange();
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
