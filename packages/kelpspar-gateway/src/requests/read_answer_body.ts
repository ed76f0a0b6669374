import type { RequestRun } from "./request_run.ts";
import type { ReceivedAnswer } from "./send_result.ts";
import { readBody } from "kelpspar-http";
import { endsWithWholeEvent } from "./event_stream.ts";
import { isEventStream } from "./media_type.ts";

/**
 * Reads the whole body and closes the answer, at once when the run stops. Throws
 * if the body is cut, exceeds a limit or is an event stream that ends inside an
 * event.
 */
export async function readAnswerBody(
  run: RequestRun,
  answer: ReceivedAnswer,
): Promise<Buffer> {
  const onStop = (): void => answer.close();
  run.stop.signal.addEventListener("abort", onStop, { once: true });
  try {
    const body = await readBody(answer.body);
    if (isEventStream(answer.headers)) assertWholeEvents(body);
    return body;
  } finally {
    run.stop.signal.removeEventListener("abort", onStop);
    answer.close();
  }
}

function assertWholeEvents(body: Buffer): void {
  if (endsWithWholeEvent(body)) return;
  throw new Error("the event stream ended inside an event");
}
