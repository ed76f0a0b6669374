import type { ServiceRoute } from "../configuration/service_route.ts";
import type { EndpointState } from "../endpoints/endpoint_state.ts";
import type { EndpointAnswer } from "./endpoint_call.ts";
import { isEventStream, mediaType } from "./media_type.ts";

/** An answer with status and body from the endpoint. */
export type ReceivedAnswer = Extract<EndpointAnswer, { type: "answered" }>;

/** Result of one send to an endpoint. Times are monotonic milliseconds. */
export interface SendResult {
  readonly endpoint: EndpointState;
  readonly answer: EndpointAnswer;
  readonly sentAt: number;
  /** Time at which the answer began; undefined if there was none. */
  readonly answeredAt: number | undefined;
  /** To be called once the answer has ended, if it is a stream. */
  readonly release: () => void;
}

/**
 * Whether an answer to a route of this kind arrives as a stream of events. One
 * without a media type counts as such.
 */
export function isStreamed(
  answer: EndpointAnswer,
  { kind }: Pick<ServiceRoute, "kind">,
): boolean {
  return kind === "stream" && answer.type === "answered" &&
    answer.status < 300 &&
    (mediaType(answer.headers) === undefined || isEventStream(answer.headers));
}

/** Closes the connection of an answer that won't be read. */
export function closeAnswer({ answer, release }: SendResult): void {
  if (answer.type === "answered") answer.close();
  release();
}
