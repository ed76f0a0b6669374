import type { Guard } from "./guard.ts";

const GATEWAY = "packages/kelpspar-gateway/src";
const NOTICED_BY = `${GATEWAY}/__tests__/unit/broken_off_stream_test.ts`;

const CONTINUED = `${GATEWAY}/__tests__/unit/continued_stream_test.ts`;
const ORIGINS = `${GATEWAY}/__tests__/unit/stream_origins_test.ts`;

/**
 * Guards against streams that were broken off and look complete, and against
 * streams of two software versions.
 */
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
  {
    name: "a daemon continues a stream at its own version",
    file: `${GATEWAY}/requests/choose_request_endpoint.ts`,
    code: "    mayContinue(run, endpoint)\n  );",
    without: "    endpoint !== undefined\n  );",
    noticedBy: CONTINUED,
  },
  {
    name: "a stream begins where another endpoint could go on",
    file: `${GATEWAY}/requests/choose_request_endpoint.ts`,
    code: "choose(preferResumable(group, now)) ?? choose(group);",
    without: "choose(group);",
    noticedBy: CONTINUED,
  },
  {
    name: "a place of another version isn't used",
    file: `${GATEWAY}/requests/choose_request_endpoint.ts`,
    code: "if (endpoint === undefined || !mayContinue(run, endpoint))",
    without: "if (endpoint === undefined)",
    noticedBy: CONTINUED,
  },
  {
    name: "a stream of an unknown version is refused",
    file: `${GATEWAY}/requests/stream_continuation.ts`,
    code: 'if (lookup.type === "unknown") {',
    without: "if (false) {",
    noticedBy: CONTINUED,
  },
  {
    name: "the first event waits for other daemons",
    file: `${GATEWAY}/requests/stream_forwarder.ts`,
    code: "await beforeFirstEvent?.();",
    without: "",
    noticedBy: CONTINUED,
  },
  {
    name: "a stream is told under the attempt that began it",
    file: `${GATEWAY}/requests/stream_continuation.ts`,
    code: "resumedAttemptId ?? attemptId;",
    without: "attemptId;",
    noticedBy: CONTINUED,
  },
  {
    name: "versions that left recently count",
    file: `${GATEWAY}/streams/recent_members.ts`,
    code: "now - leftAt < STREAM_LIFETIME_MILLISECONDS",
    without: "false",
    noticedBy: ORIGINS,
  },
  {
    name: "a daemon that just started asks for the versions before",
    file: `${GATEWAY}/streams/stream_origins.ts`,
    code:
      "if (software.length === 1 && this.#candidates.isComplete(options)) {",
    without: "if (software.length === 1) {",
    noticedBy: ORIGINS,
  },
  {
    name: "each zone has a holder",
    file: `${GATEWAY}/streams/rank_origin_holders.ts`,
    code: "zones.add(daemon.zone);",
    without: "",
    noticedBy: ORIGINS,
  },
  {
    name: "live streams are told when a second version appears",
    file: `${GATEWAY}/streams/stream_origins.ts`,
    code: "peers.tellStreams(peer, told).catch(() => {});",
    without: "",
    noticedBy: ORIGINS,
  },
  {
    name: "an earlier send doesn't replace a later one",
    file: `${GATEWAY}/streams/begun_streams.ts`,
    code: "if (known !== undefined && known.stream.sends > sends) return;",
    without: "",
    noticedBy: ORIGINS,
  },
  {
    name: "a silent stream is held while another endpoint is looked for",
    file: `${GATEWAY}/requests/stream_forwarder.ts`,
    code: "failover.start(cause);",
    without: "close(error);",
    noticedBy: `${GATEWAY}/__tests__/unit/paused_endpoint_test.ts`,
  },
  {
    name: "a third endpoint is asked beside a second silent one",
    file: `${GATEWAY}/requests/stream_failover.ts`,
    code: "return this.#options.places.lateMilliseconds;",
    without: "return Number.POSITIVE_INFINITY;",
    noticedBy: `${GATEWAY}/__tests__/unit/stream_failover_test.ts`,
  },
  {
    name: "a suspected part isn't sent on before its endpoint is checked",
    file: `${GATEWAY}/requests/endpoint_places.ts`,
    code: "await checkHeld();",
    without: "",
    noticedBy: `${GATEWAY}/__tests__/unit/stream_failover_test.ts`,
  },
  {
    name: "a hanging call of pieces is kept until another one has them",
    file: `${GATEWAY}/pieces/stage_scheduler.ts`,
    code: "return !this.#retries.isOnlyCall(call.tasks);",
    without: "return true;",
    noticedBy: `${GATEWAY}/__tests__/unit/piece_coordinator_test.ts`,
  },
];
