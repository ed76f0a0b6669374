import type { EndpointState } from "../endpoints/endpoint_state.ts";
import type { EndpointAnswer } from "./endpoint_call.ts";

/** An answer whose status and body are the endpoint's own. */
export type Answered = Extract<EndpointAnswer, { type: "answered" }>;

/** What came of one send. */
export interface Sent {
  readonly endpoint: EndpointState;
  readonly answer: EndpointAnswer;
  readonly sentAt: number;
  /** When the answer began; undefined when none did. Monotonic ms. */
  readonly answeredAt: number | undefined;
}

/** Closes the connection of an answer that nobody reads. */
export function closeSent({ answer }: Sent): void {
  if (answer.type === "answered") answer.close();
}
