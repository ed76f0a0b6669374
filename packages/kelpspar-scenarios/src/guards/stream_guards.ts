import type { Guard } from "./guard.ts";

const GATEWAY = "packages/kelpspar-gateway/src";
const NOTICED_BY = `${GATEWAY}/__tests__/unit/broken_off_stream_test.ts`;

/** Guards against streams that were broken off and look complete. */
export const STREAM_GUARDS: readonly Guard[] = [
  {
    name: "a stream that ends inside an event was broken off",
    file: `${GATEWAY}/requests/stream_forwarder.ts`,
    code: "if (this.#relay.isInsideEvent) {",
    without: "if (false) {",
    noticedBy: NOTICED_BY,
  },
  {
    name: "a close-delimited stream without a byte was broken off",
    file: `${GATEWAY}/requests/stream_forwarder.ts`,
    code: "if (isEmpty && !this.#isConfirmedRest()) {",
    without: "if (false) {",
    noticedBy: NOTICED_BY,
  },
  {
    name: "half of a CR LF doesn't end an event",
    file: `${GATEWAY}/requests/event_stream.ts`,
    code: "\\r(?=[^\\n])",
    without: "\\r",
    noticedBy: NOTICED_BY,
  },
  {
    name: "a buffered event stream that ends inside an event was broken off",
    file: `${GATEWAY}/requests/read_answer_body.ts`,
    code: "if (isEventStream(answer.headers)) assertWholeEvents(body);",
    without: "",
    noticedBy: NOTICED_BY,
  },
  {
    name: "an answer that isn't an event stream has no events",
    file: `${GATEWAY}/requests/send_result.ts`,
    code:
      "(mediaType(answer.headers) === undefined || isEventStream(answer.headers))",
    without: "true",
    noticedBy: NOTICED_BY,
  },
  {
    name: "an aborted answer without chunks resets its connection",
    file: `${GATEWAY}/front/http_reply.ts`,
    code: "if (headersSent && !chunkedEncoding) socket?.resetAndDestroy();",
    without: "",
    noticedBy: "platform/src/__tests__/unit/broken_off_answer_test.ts",
  },
];
