import type { ResultName } from "kelpspar-shared";
import type { Socket } from "node:net";
import { KelpsparError, RESULT_CODES, toFailureRecord } from "kelpspar-shared";

interface ClientErrorAnswer {
  readonly result: ResultName;
  readonly message: string;
}

const ANSWER_BY_CODE: Readonly<Record<string, ClientErrorAnswer>> = {
  HPE_HEADER_OVERFLOW: {
    result: "malformed_request",
    message: "Cannot read the request: its headers are too large",
  },
  ERR_HTTP_REQUEST_TIMEOUT: {
    result: "request_too_slow",
    message: "Cannot wait for the request: it arrives too slowly",
  },
};

const DEFAULT_ANSWER: ClientErrorAnswer = {
  result: "malformed_request",
  message: "Cannot read the request: it is not HTTP",
};

/**
 * Answers a request that could not be parsed (headers too slow, too large or
 * not HTTP) with a failure record as well, then closes the connection.
 */
export function answerClientError(
  error: Error & { readonly code?: string },
  socket: Socket,
): void {
  if (!socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const answer = ANSWER_BY_CODE[error.code ?? ""] ?? DEFAULT_ANSWER;
  const { httpStatus } = RESULT_CODES[answer.result];
  const failure = new KelpsparError(answer.result, answer.message);
  const body = JSON.stringify(toFailureRecord(failure));
  socket.end(
    `HTTP/1.1 ${httpStatus} Refused\r\ncontent-type: application/json\r\n` +
      `content-length: ${body.length}\r\nconnection: close\r\n\r\n${body}`,
    // Node.js applies no timeout after a parse error, so a connection that the
    // caller never closes would stay open forever.
    () => socket.destroy(),
  );
}
