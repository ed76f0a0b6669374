import type { TimerService } from "kelpspar-shared";
import type { HttpExchangeResult } from "../exchange/http_exchange.ts";
import type { MalformedAnswers } from "../exchange/malformed_answers.ts";
import type { RelayAnswer } from "./relay_answer.ts";
import type { RelayMessage } from "./relay_message.ts";
import { readBody } from "kelpspar-http";
import {
  endToEndHeaders,
  headerValue,
} from "../exchange/connection_headers.ts";
import { exchangeHttp } from "../exchange/http_exchange.ts";
import { reportBodyLimit } from "../exchange/report_body_limit.ts";
import { encodeRelayMessage } from "./relay_message.ts";
import { RELAY_ORIGIN_HEADER } from "./relay_origin.ts";
import { RELAY_PATH } from "./relay_path.ts";
import { decodeRelayRefusal } from "./relay_refusal.ts";

const CONNECT_TIMEOUT_MILLISECONDS = 250;
/** A refusal has a status, two numbers and a message. */
const MAXIMUM_REFUSAL_BYTES = 64 * 1024;
/** From a refusal's head to its end; its daemon sends both at once. */
const REFUSAL_TIMEOUT_MILLISECONDS = 600;
const OWN_HEADERS: ReadonlySet<string> = new Set([RELAY_ORIGIN_HEADER]);

type AnsweredExchange = Extract<HttpExchangeResult, { type: "answered" }>;

/** One relayed request. */
export interface RelayCall {
  /** `address:port` of the other daemon. */
  readonly peer: string;
  readonly message: RelayMessage;
  readonly timer: TimerService;
  readonly malformedAnswers: Pick<MalformedAnswers, "publish">;
  readonly signal: AbortSignal;
}

/**
 * Relays a request to another daemon. Uses plain HTTP, so that answers stream
 * through with backpressure and close like those of an endpoint. Never throws.
 */
export async function relayRequest(
  { peer, message, timer, malformedAnswers, signal }: RelayCall,
): Promise<RelayAnswer> {
  const body = encodeRelayMessage(message);
  const result = await exchangeHttp({
    address: peer,
    method: "POST",
    target: RELAY_PATH,
    headers: [
      "Host",
      peer,
      "Content-Type",
      "application/json",
      "Content-Length",
      String(body.length),
      "Connection",
      "close",
    ],
    body,
    connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
    timer,
    signal,
    onMalformed: (reason, hasFailedCall) =>
      malformedAnswers.publish({ sender: peer, reason, hasFailedCall }),
  });
  switch (result.type) {
    case "answered":
      return await readAnswer(result, { peer, timer, malformedAnswers });
    case "unreachable":
      return { type: "unreachable", reason: result.reason };
    case "unsendable":
    case "unknown":
      return { type: "unknown", reason: result.reason };
  }
}

async function readAnswer(
  { message, framing, close }: AnsweredExchange,
  { peer, timer, malformedAnswers }: Pick<
    RelayCall,
    "peer" | "timer" | "malformedAnswers"
  >,
): Promise<RelayAnswer> {
  const raw = message.rawHeaders;
  const origin = headerValue(raw, RELAY_ORIGIN_HEADER);
  if (origin === "endpoint") {
    const status = message.statusCode ?? 0;
    const headers = endToEndHeaders(raw, OWN_HEADERS);
    return {
      type: "answered",
      answer: {
        type: "answered",
        status,
        headers,
        framing,
        body: message,
        close,
      },
    };
  }
  try {
    const body = await readBody(message, {
      maximumBytes: MAXIMUM_REFUSAL_BYTES,
      time: { timer, milliseconds: REFUSAL_TIMEOUT_MILLISECONDS },
    });
    return { type: "refused", refusal: decodeRelayRefusal(body) };
  } catch (error) {
    reportBodyLimit(malformedAnswers, error, {
      sender: peer,
      hasFailedCall: true,
    });
    return { type: "unknown", reason: String(error) };
  } finally {
    close();
  }
}
