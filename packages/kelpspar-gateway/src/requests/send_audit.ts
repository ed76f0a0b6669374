import type { EndpointState } from "../endpoints/endpoint_state.ts";
import type { RequestRun } from "./request_run.ts";
import type { SendLimit } from "./send_limit.ts";

/** Crashes on a part from which sends of it are logged with their reason. */
const SUSPECT_CRASHES = 2;

type LimitCheck = (run: RequestRun, endpoint: EndpointState) => boolean;

/** Whether a send to an endpoint passes a limit, by limit. */
const PASSES_LIMIT: Readonly<Record<SendLimit, LimitCheck>> = {
  attempts: ({ isRepeatable, attemptsLeft, runs }) =>
    isRepeatable ? attemptsLeft <= 0 : runs > 0,
  deadline: (run) => run.remaining() <= 0,
  pause: (run, endpoint) =>
    endpoint.remainingRequestedPauseMilliseconds(run.now()) > 0,
};
const LIMITS = Object.keys(PASSES_LIMIT) as SendLimit[];

/**
 * Counts and logs sends that pass a limit, and those with a part that endpoints
 * crashed on. To be called before the send is recorded.
 */
export function auditSend(run: RequestRun, endpoint: EndpointState): void {
  auditLimits(run, endpoint);
  auditParts(run, endpoint);
}

function auditLimits(run: RequestRun, endpoint: EndpointState): void {
  const { dependencies, request, service } = run.options;
  for (const limit of LIMITS) {
    if (!PASSES_LIMIT[limit](run, endpoint)) continue;
    dependencies.metrics.countSendOverLimit(service, limit);
    dependencies.log.warn("request sent over a limit", {
      attempt: request.attemptId,
      service,
      endpoint: endpoint.entry.id,
      limit,
      runs: run.runs,
      remainingMilliseconds: Math.round(run.remaining()),
    });
  }
}

function auditParts(run: RequestRun, endpoint: EndpointState): void {
  const { dependencies, request, service } = run.options;
  const suspect = dependencies.quarantine.findSuspectPart(run);
  if (suspect === undefined || suspect.crashes < SUSPECT_CRASHES) return;
  const { part, causes, ...assessment } = suspect;
  dependencies.metrics.countSuspectSend(service, suspect.reason);
  dependencies.log.info("suspect prompt part sent", {
    attempt: request.attemptId,
    fingerprint: run.fingerprint,
    parts: part,
    endpoint: endpoint.entry.id,
    ...assessment,
    causes: causes.join(" "),
  });
}
