import type {
  ConnectionWatch,
  SilenceVerdict,
} from "kelpspar-decisions/routing";
import type { EndpointAddress, LoadReport } from "kelpspar-shared";
import type { StageServices } from "./stage_services.ts";

const PROBE_MILLISECONDS = 300;

/** A call without progress, and where it runs. */
export interface SilentCall {
  readonly watch: ConnectionWatch;
  readonly endpoint: EndpointAddress;
}

/**
 * Asks the endpoint of a silent call over a new connection, and says what
 * becomes of the call; undefined when it may go on.
 *
 * Source: the brief, "What fails": open connections go silent for good while
 * new ones work.
 */
export async function probeSilence(
  services: StageServices,
  call: SilentCall,
): Promise<SilenceVerdict | undefined> {
  const { timer, endpoints, parts } = services;
  const { endpointId } = call.endpoint;
  const suspectedAt = timer.now();
  const report = await askInTime(services, () => endpoints.load(call.endpoint));
  if (report !== undefined) {
    parts.registry.report({
      endpointId,
      report,
      now: timer.now(),
      direct: true,
    });
  }
  const verdict = call.watch.evaluateProbe({
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

async function askInTime(
  services: StageServices,
  ask: () => Promise<LoadReport>,
): Promise<LoadReport | undefined> {
  return await new Promise((resolve) => {
    const stopTimer = services.timer.registerTimeout(
      () => resolve(undefined),
      PROBE_MILLISECONDS,
    );
    const settle = (report: LoadReport | undefined): void => {
      stopTimer();
      resolve(report);
    };
    ask().then(settle, () => settle(undefined));
  });
}
