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
  /**
   * Result of the call that this one hedged, or of its hedge; to be used if this
   * answer is cut, or else closed.
   */
  readonly other?: Promise<SendResult> | undefined;
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
export function closeAnswer(result: SendResult): void {
  const { answer, release } = result;
  if (answer.type === "answered") answer.close();
  release();
  closeOther(result);
}

/** Closes the answer of the other call of a hedge when it comes. */
export function closeOther({ other }: SendResult): void {
  void other?.then(closeAnswer);
}
