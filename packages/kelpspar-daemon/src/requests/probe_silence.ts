import type {
  ConnectionMonitor,
  SilenceVerdict,
} from "kelpspar-decisions/routing";
import type { EndpointAddress, LoadReport } from "kelpspar-shared";
import type { StageServices } from "./stage_services.ts";

const PROBE_TIMEOUT_MILLISECONDS = 300;

/** A call without progress, and its endpoint. */
export interface SilentCall {
  readonly connectionMonitor: ConnectionMonitor;
  readonly endpoint: EndpointAddress;
}

/**
 * Probes the endpoint of a silent call over a new connection and returns the
 * verdict on the call; undefined when the call may continue.
 *
 * Source: the brief, "What fails": open connections go silent permanently while
 * new ones work.
 */
export async function probeSilence(
  services: StageServices,
  call: SilentCall,
): Promise<SilenceVerdict | undefined> {
  const { timer, endpoints, parts } = services;
  const { endpointId } = call.endpoint;
  const suspectedAt = timer.now();
  const report = await loadWithTimeout(
    services,
    () => endpoints.load(call.endpoint),
  );
  if (report !== undefined) {
    parts.registry.report({
      endpointId,
      report,
      now: timer.now(),
      direct: true,
    });
  }
  const verdict = call.connectionMonitor.evaluateProbe({
    answered: report !== undefined,
    isQueueing: (report?.waiting ?? 0) > 0,
    suspectedAt,
  });
  if (verdict === undefined) return undefined;
  endpoints.renewConnections(call.endpoint);
  if (verdict.endpoint === "eject") {
    parts.registry.suspect(endpointId, timer.now());
  }
  return verdict;
}

async function loadWithTimeout(
  services: StageServices,
  load: () => Promise<LoadReport>,
): Promise<LoadReport | undefined> {
  return await new Promise((resolve) => {
    const stopTimer = services.timer.registerTimeout(
      () => resolve(undefined),
      PROBE_TIMEOUT_MILLISECONDS,
    );
    const settle = (report: LoadReport | undefined): void => {
      stopTimer();
      resolve(report);
    };
    load().then(settle, () => settle(undefined));
  });
}
