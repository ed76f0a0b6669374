import type { KelpsparError } from "kelpspar-shared";
import type { DaemonAnswer } from "../requests/request_reply.ts";
import { RESULT_CODES } from "kelpspar-shared";

/** The answer to a request that can't be read, with the number of its result. */
export function describeRefusal(
  { result, message }: KelpsparError,
): DaemonAnswer {
  const { number, httpStatus } = RESULT_CODES[result];
  return { status: httpStatus, message: `${number} ${result}: ${message}` };
}
