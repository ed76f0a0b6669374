import type { EndpointAddress, StageCall } from "kelpspar-shared";
import { engineAnswer, plainAnswer } from "kelpspar-standins";

const ANSWER_TOKENS = 16;

/**
 * Engines answer alike, so that one continues another's text. A plain service
 * answers each call in other words, so that a mixture is noticed.
 */
export function answerCall(call: StageCall, endpoint: {
  readonly kind: "engine" | "plain";
  readonly address: EndpointAddress;
}): string {
  if (endpoint.kind === "engine") {
    return engineAnswer(call.model ?? "", call.input, ANSWER_TOKENS);
  }
  const { endpointId, service } = endpoint.address;
  const text = plainAnswer(service, call.input);
  return `${text} at ${endpointId} by ${call.attemptId}`;
}
