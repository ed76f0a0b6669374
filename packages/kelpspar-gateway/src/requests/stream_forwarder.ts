import type { EndpointState } from "../endpoints/endpoint_state.ts";
import type { RequestRun } from "./request_run.ts";
import type { Answered } from "./send_result.ts";
import type { StreamRelay } from "./stream_relay.ts";

/**
 * A stream that may go on elsewhere does after such a silence: some times the
 * longest pause of a sound endpoint, so that slow ones aren't given up.
 */
const STREAM_SILENCE_MILLISECONDS = 1_500;

/** Passes the streams of endpoints on as one to the caller. */
export class StreamForward {
  readonly #run: RequestRun;
  readonly #relay: StreamRelay;
  #hasBegun = false;

  constructor(run: RequestRun, relay: StreamRelay) {
    this.#run = run;
    this.#relay = relay;
  }

  /**
   * Passes one endpoint's stream on. Throws when it is cut; the caller's is
   * then open, and what was left of an event is dropped.
   */
  async forward(
    { answer, endpoint }: { answer: Answered; endpoint: EndpointState },
    onFirstEvent: () => void,
  ): Promise<void> {
    const stops = [this.#run.stop.signal, endpoint.ended];
    const onStop = (): void => answer.close();
    for (const one of stops) {
      one.addEventListener("abort", onStop, { once: true });
    }
    try {
      await this.#forwardEvents(answer, onFirstEvent);
    } catch (error) {
      this.#relay.dropRest();
      throw error;
    } finally {
      for (const one of stops) one.removeEventListener("abort", onStop);
      answer.close();
    }
    if (this.#run.isOpen) await this.#end(answer);
  }

  async #forwardEvents(
    answer: Answered,
    onFirstEvent: () => void,
  ): Promise<void> {
    const run = this.#run;
    const { reply, parts } = run.options;
    let stopWatch = this.#watchSilence(answer);
    try {
      for await (const chunk of answer.body) {
        if (!run.isOpen) return;
        stopWatch();
        const events = this.#relay.take(chunk as Buffer);
        if (events.length > 0) {
          if (run.firstByteAt === undefined) {
            run.firstByteAt = parts.timer.now();
            onFirstEvent();
          }
          this.#begin(answer);
          await reply.write(events);
        }
        stopWatch = this.#watchSilence(answer);
      }
    } finally {
      stopWatch();
    }
  }

  async #end(answer: Answered): Promise<void> {
    const { reply } = this.#run.options;
    this.#begin(answer);
    const rest = this.#relay.takeRest();
    if (rest.length > 0) await reply.write(rest);
    reply.end();
  }

  /** Headers are those of the first endpoint, whoever goes on. */
  #begin(answer: Answered): void {
    if (this.#hasBegun) return;
    this.#hasBegun = true;
    this.#run.options.reply.begin(answer.status, answer.headers);
  }

  #watchSilence(answer: Answered): () => void {
    if (!this.#run.hasAttemptsLeft) return () => {};
    return this.#run.options.parts.timer.registerTimeout(
      () => answer.close(),
      STREAM_SILENCE_MILLISECONDS,
    );
  }
}
