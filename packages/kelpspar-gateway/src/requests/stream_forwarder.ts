import type { BodyLimitReason } from "kelpspar-http";
import type { EndpointState } from "../endpoints/endpoint_state.ts";
import type { RequestRun } from "./request_run.ts";
import type { ReceivedAnswer } from "./send_result.ts";
import type { FailoverCause } from "./failover_places.ts";
import type { StreamFailover } from "./stream_failover.ts";
import type { StreamRelay } from "./stream_relay.ts";
import { BodyLimitError, PROCESS_READ_BUDGET } from "kelpspar-http";
import { StreamSilenceError } from "./stream_silence_error.ts";
import { StreamTimeouts } from "./stream_timeouts.ts";

/** A stream to forward. */
export interface ForwardedStream {
  readonly answer: ReceivedAnswer;
  /** Undefined for a stream that another daemon relays. */
  readonly endpoint?: EndpointState;
  /** Looks for another endpoint or daemon while nothing arrives. */
  readonly failover: Pick<
    StreamFailover<unknown>,
    "start" | "isSearching" | "resume" | "cancel" | "registerFound"
  >;
  /**
   * Called once, when the first event of all streams of the request was received;
   * resolves when it may leave.
   */
  readonly beforeFirstEvent?: () => Promise<void>;
  /** Called once, at the first event of all streams of the request. */
  readonly onFirstEvent?: () => void;
  /** Called for each chunk of this stream that completes events. */
  readonly onEvents?: () => void;
}

/** Forwards the streams of successive endpoints to the caller as one stream. */
export class StreamForwarder {
  readonly #run: RequestRun;
  readonly #relay: StreamRelay;
  #hasBegun = false;
  #hasAnswerBytes = false;
  /** Answers that ended without a byte while none had been received. */
  #emptyAnswers = 0;

  constructor(run: RequestRun, relay: StreamRelay) {
    this.#run = run;
    this.#relay = relay;
  }

  /**
   * Forwards the stream of one endpoint. If it is cut, ends inside an event or
   * has one that exceeds a limit, drops the partial event and throws; the
   * caller's stream stays open.
   */
  async forward(stream: ForwardedStream): Promise<void> {
    const { answer, endpoint } = stream;
    const stopSignal = this.#run.stop.signal;
    const signals = endpoint === undefined
      ? [stopSignal]
      : [stopSignal, endpoint.ended];
    const onStop = (): void => answer.close();
    for (const signal of signals) {
      signal.addEventListener("abort", onStop, { once: true });
    }
    try {
      if (this.#endsHeldAnswer) this.#beginReply(answer);
      await this.#forwardEvents(stream);
      if (this.#run.isOpen) this.#assertComplete(answer);
    } catch (error) {
      this.#relay.dropPartialEvent();
      throw error;
    } finally {
      for (const signal of signals) signal.removeEventListener("abort", onStop);
      answer.close();
    }
    if (this.#run.isOpen) await this.#endReply(answer);
  }

  /**
   * True if another daemon may hold the answer that this one goes on with. It
   * closes that one once this one has begun, however late the first event is.
   */
  get #endsHeldAnswer(): boolean {
    const { mayRelay, isResumableStream, options } = this.#run;
    return !mayRelay && isResumableStream &&
      options.request.lastEventId !== undefined;
  }

  async #forwardEvents(stream: ForwardedStream): Promise<void> {
    const run = this.#run;
    const { answer, beforeFirstEvent, onFirstEvent, failover } = stream;
    const { reply, dependencies } = run.options;
    let closeCause: Error | undefined;
    const close = (cause: Error): void => {
      closeCause = cause;
      answer.close();
    };
    const giveUp = (reason: BodyLimitReason): void =>
      close(new BodyLimitError(reason));
    const holding = PROCESS_READ_BUDGET.open(() => giveUp("memory"));
    let isEventSlow = false;
    const failOver = (cause: FailoverCause, error: Error): void => {
      failoverError = error;
      failover.start(cause);
    };
    let failoverError = new Error("The stream goes on elsewhere");
    const stopListening = failover.registerFound(() => close(failoverError));
    const timeouts = new StreamTimeouts({
      run,
      isRelayed: stream.endpoint === undefined,
      onSilence: (milliseconds) =>
        failOver("silence", new StreamSilenceError(milliseconds)),
      onSlowEvent: () => {
        isEventSlow = true;
        failOver("slow_event", new BodyLimitError("slow_event"));
      },
    });
    timeouts.wait(false);
    this.#hasAnswerBytes = false;
    try {
      for await (const chunk of answer.body) {
        if (!run.isOpen) return;
        timeouts.received();
        if (failover.isSearching && !isEventSlow) await failover.resume();
        if (!run.isOpen) return;
        // Another endpoint was asked for what follows the last whole event.
        if (closeCause !== undefined) throw closeCause;
        this.#hasAnswerBytes = true;
        const events = this.#relay.push(chunk as Buffer);
        holding.set(this.#relay.heldBytes);
        isEventSlow &&= events.length === 0;
        if (!isEventSlow) failover.cancel();
        if (events.length > 0) {
          timeouts.stop();
          stream.onEvents?.();
          if (run.firstByteAt === undefined) {
            await beforeFirstEvent?.();
            if (!run.isOpen) return;
            run.firstByteAt = dependencies.timer.now();
            onFirstEvent?.();
          }
          this.#beginReply(answer);
          run.writingSince = dependencies.timer.now();
          await reply.write(events);
          run.writingSince = undefined;
        }
        timeouts.wait(this.#relay.isInsideEvent);
      }
    } catch (error) {
      throw closeCause ?? error;
    } finally {
      stopListening();
      timeouts.stop();
      holding.end();
    }
    if (closeCause !== undefined) throw closeCause;
  }

  /** Throws if the stream was broken off, although its body ended regularly. */
  #assertComplete({ framing }: ReceivedAnswer): void {
    if (this.#relay.isInsideEvent) {
      throw new Error(`the stream ended inside an event (${framing})`);
    }
    const isEmpty = framing === "close_delimited" && !this.#hasAnswerBytes;
    if (isEmpty && !this.#isConfirmedRest()) {
      throw new Error("the stream ended before its first event");
    }
  }

  /**
   * True if two endpoints have nothing after the event that the caller resumes
   * at, which may have been the last one.
   */
  #isConfirmedRest(): boolean {
    const { lastEventId } = this.#run.options.request;
    if (lastEventId === undefined || this.#relay.hasReceivedBytes) return false;
    this.#emptyAnswers++;
    return this.#emptyAnswers >= 2;
  }

  async #endReply(answer: ReceivedAnswer): Promise<void> {
    const { reply } = this.#run.options;
    this.#beginReply(answer);
    const rest = this.#relay.flush();
    if (rest.length > 0) await reply.write(rest);
    reply.end();
  }

  /** Sends the headers of the first endpoint; those of later ones are ignored. */
  #beginReply(answer: ReceivedAnswer): void {
    if (this.#hasBegun) return;
    this.#hasBegun = true;
    this.#run.options.reply.begin(answer.status, answer.headers);
  }
}
