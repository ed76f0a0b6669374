import type { EndpointAddress, StageCall } from "kelpspar-shared";
import { engineAnswer, plainAnswer } from "kelpspar-standins";

const ANSWER_TOKENS = 16;

/**
 * Generates the output of a call. Engines generate the same text for the same
 * input, so that one can continue the text of another. The output of a plain
 * service is unique per call, so that mixed-up answers are detected.
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
