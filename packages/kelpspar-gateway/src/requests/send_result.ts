import type { EndpointState } from "../endpoints/endpoint_state.ts";
import type { EndpointAnswer } from "./endpoint_call.ts";

/** An answer with status and body from the endpoint. */
export type ReceivedAnswer = Extract<EndpointAnswer, { type: "answered" }>;

/** Result of one send to an endpoint. Times are monotonic milliseconds. */
export interface SendResult {
  readonly endpoint: EndpointState;
  readonly answer: EndpointAnswer;
  readonly sentAt: number;
  /** Time at which the answer began; undefined if there was none. */
  readonly answeredAt: number | undefined;
}

/** Closes the connection of an answer that won't be read. */
export function closeAnswer({ answer }: SendResult): void {
  if (answer.type === "answered") answer.close();
}
