import type { TimerService } from "kelpspar-shared";
import type { EndpointRegistry } from "../endpoints/endpoint_registry.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { GatewayMetrics } from "../metrics/gateway_metrics.ts";
import type { MalformedAnswerListener } from "./malformed_answers.ts";

/** Dependencies of a listener for malformed answers. */
export interface MalformedAnswerListenerOptions {
  readonly registry: Pick<EndpointRegistry, "find">;
  readonly metrics: Pick<GatewayMetrics, "countMalformedAnswer">;
  readonly log: GatewayLog;
  readonly timer: TimerService;
}

/** Creates a listener that logs and counts malformed answers. */
export function createMalformedAnswerListener(
  { registry, metrics, log, timer }: MalformedAnswerListenerOptions,
): MalformedAnswerListener {
  return ({ sender, reason, hasFailedCall }) => {
    log.warn("malformed answer", { sender, reason });
    metrics.countMalformedAnswer(sender, reason);
    // A failed call is recorded by its caller.
    if (!hasFailedCall) registry.find(sender)?.failed(false, timer.now());
  };
}
