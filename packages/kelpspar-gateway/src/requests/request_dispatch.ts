import type { EndpointChoice } from "../endpoints/choose_endpoint.ts";
import type { EndpointRefusal } from "./endpoint_call.ts";
import type { RequestRun } from "./request_run.ts";
import type { Answered, Sent } from "./sent.ts";
import { shortestPause } from "../endpoints/shortest_pause.ts";
import { EndpointSender } from "./endpoint_sender.ts";
import { findPlace } from "./find_place.ts";
import { readBody } from "./read_body.ts";
import {
  FULL_RETRY_MILLISECONDS,
  NO_ENDPOINT_RETRY_MILLISECONDS,
} from "./retry_waits.ts";
import { closeSent } from "./sent.ts";
import { StreamForward } from "./stream_forward.ts";
import { StreamRelay } from "./stream_relay.ts";

/** Why a dispatch ended without the request's final answer. */
export type DispatchEnd = "ended" | "input_gone";

interface WholeAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/**
 * Sends a request to endpoints until it is answered or can't be. It is run
 * again when the results that the request reads were lost and made anew, and
 * then goes on where a stream stopped.
 */
export class RequestDispatch {
  readonly #run: RequestRun;
  readonly #hasStages: boolean;
  readonly #sender: EndpointSender;
  readonly #stream: StreamForward;
  /** The last failure of an endpoint's own, if nothing better comes. */
  #fallback: WholeAnswer | undefined;

  constructor(run: RequestRun, hasStages: boolean) {
    const relay = new StreamRelay(run.options.request.lastEventId);
    this.#run = run;
    this.#hasStages = hasStages;
    this.#sender = new EndpointSender(run, relay);
    this.#stream = new StreamForward(run, relay);
  }

  async run(): Promise<DispatchEnd> {
    const run = this.#run;
    const sender = this.#sender;
    if (this.#hasStages) sender.inputs = run.heldHandles;
    while (run.isOpen) {
      // Results are freed at a stream's first event. An endpoint that goes on
      // with it reads them too, so that sending it there would be in vain.
      if (this.#areInputsFreed) return "input_gone";
      if (run.isQuarantined) {
        run.rejectQuarantined();
        return "ended";
      }
      const choice = sender.choose() ?? await this.#choosePlaced();
      if (!run.isOpen) return "ended";
      if (choice === undefined) return this.#noEndpoint();
      if (!sender.mayRepeat()) return this.#fail("repeats used up");
      const sent = await sender.send(choice);
      if (!run.isOpen) closeSent(sent);
      else {
        const end = await this.#take(sent);
        if (end !== "again") return end;
      }
    }
    return "ended";
  }

  /** Ends the request with the best that there is. */
  giveUp(
    reason: string,
    retryAfterMilliseconds = FULL_RETRY_MILLISECONDS,
  ): void {
    const run = this.#run;
    if (run.firstByteAt !== undefined) run.breakOff(reason);
    else if (this.#fallback !== undefined) this.#pass(this.#fallback);
    else run.giveUp(reason, retryAfterMilliseconds);
  }

  get #areInputsFreed(): boolean {
    return (this.#sender.inputs?.length ?? 0) > 0 &&
      this.#run.heldHandles.length === 0;
  }

  #fail(reason: string): DispatchEnd {
    this.giveUp(reason);
    return "ended";
  }

  /**
   * Asks the coordinator when endpoints with limits are left that this daemon
   * may not choose itself now; once for each send.
   */
  async #choosePlaced(): Promise<EndpointChoice | undefined> {
    const run = this.#run;
    const isAsked = run.placeAskedAt === run.sends;
    if (isAsked || !this.#sender.hasLimited) return undefined;
    await findPlace(run);
    return run.isOpen ? this.#sender.choose() : undefined;
  }

  #noEndpoint(): DispatchEnd {
    const { parts, service } = this.#run.options;
    const pause = shortestPause(
      parts.book.availableFor(service),
      this.#run.now(),
    );
    if (pause === 0 && this.#sender.hasLimited) {
      const wait = this.#run.placeWait ?? 0;
      this.giveUp(
        "over the endpoints' limits",
        Math.max(wait, FULL_RETRY_MILLISECONDS),
      );
      return "ended";
    }
    const wait = this.#sender.hasTried
      ? FULL_RETRY_MILLISECONDS
      : NO_ENDPOINT_RETRY_MILLISECONDS;
    this.giveUp("no endpoint left", pause > 0 ? pause : wait);
    return "ended";
  }

  async #take(sent: Sent): Promise<DispatchEnd | "again"> {
    const { answer } = sent;
    switch (answer.type) {
      case "answered":
        return await this.#takeAnswer(sent, answer);
      case "unreachable":
        this.#countFailure(sent, answer.reason, answer.isRefused);
        return "again";
      case "not_run":
        return this.#takeRefusal(sent, answer.refusal);
      case "unknown":
        this.#countFailure(sent, answer.reason);
        this.#watchCrash(sent);
        return this.#againOrFail(answer.reason);
    }
  }

  #takeRefusal(sent: Sent, refusal: EndpointRefusal): DispatchEnd | "again" {
    this.#sender.logFailure(sent, refusal);
    const { book } = this.#run.options.parts;
    const handlers: Readonly<
      Record<EndpointRefusal, () => DispatchEnd | "again">
    > = {
      full: () => "again",
      replaced: () => {
        book.retire(sent.endpoint.entry);
        return "again";
      },
      input_gone: () => "input_gone",
      rejected: () => this.#fail("rejected by endpoint"),
    };
    return handlers[refusal]();
  }

  async #takeAnswer(
    sent: Sent,
    answer: Answered,
  ): Promise<DispatchEnd | "again"> {
    const { route } = this.#run.options;
    const isStream = route.kind === "stream" && answer.status < 300;
    return isStream
      ? await this.#forwardStream(sent, answer)
      : await this.#passWhole(sent, answer);
  }

  async #passWhole(
    sent: Sent,
    answer: Answered,
  ): Promise<DispatchEnd | "again"> {
    const run = this.#run;
    let body: Buffer;
    try {
      body = await readBody(answer.body);
    } catch (error) {
      return this.#cut(sent, error);
    } finally {
      answer.close();
    }
    if (!run.isOpen) return "ended";
    const { status, headers } = answer;
    if (status >= 500) sent.endpoint.failed(false, run.now());
    else this.#sender.recordFirstByte(sent);
    // An endpoint's own failure of a repeatable request may be mended by
    // another one; otherwise it is passed on as it is.
    if (status >= 500 && run.hasAttemptsLeft) {
      this.#sender.logFailure(sent, `status ${status}`);
      this.#fallback = { status, headers, body };
      return "again";
    }
    this.#pass({ status, headers, body });
    return "ended";
  }

  #pass({ status, headers, body }: WholeAnswer): void {
    const { parts } = this.#run.options;
    parts.quarantine.served(this.#run.fingerprint);
    this.#run.firstByteAt = this.#run.now();
    this.#run.options.reply.answer(status, headers, body);
    this.#run.finish(status < 500 ? "served" : "failed", { status });
  }

  async #forwardStream(
    sent: Sent,
    answer: Answered,
  ): Promise<DispatchEnd | "again"> {
    const run = this.#run;
    const { endpoint } = sent;
    endpoint.inFlight++;
    try {
      await this.#stream.forward({ answer, endpoint }, () => {
        this.#sender.recordFirstByte(sent);
        // The endpoint has read its inputs once it writes.
        run.releaseResults();
      });
    } catch (error) {
      return run.isOpen ? this.#cut(sent, error) : "ended";
    } finally {
      endpoint.inFlight--;
    }
    if (run.isOpen) run.options.parts.quarantine.served(run.fingerprint);
    // An end that came before, such as the caller's, stays the one.
    run.finish("served", { endpoint: endpoint.entry.id, status: 200 });
    return "ended";
  }

  #cut(sent: Sent, error: unknown): DispatchEnd | "again" {
    const reason = error instanceof Error ? error.message : String(error);
    this.#countFailure(sent, `answer cut: ${reason}`);
    this.#watchCrash(sent);
    return this.#againOrFail("answer cut");
  }

  #watchCrash({ endpoint, sentAt, answeredAt }: Sent): void {
    const { fingerprint, options } = this.#run;
    void options.parts.crashes.cut({
      attemptId: options.request.attemptId,
      fingerprint,
      endpoint: endpoint.entry,
      sentAt,
      answeredAt,
      hasRestarted: endpoint.ended.aborted,
    });
  }

  #countFailure(sent: Sent, reason: string, isCertain = false): void {
    sent.endpoint.failed(isCertain, this.#run.now());
    this.#sender.logFailure(sent, reason);
  }

  #againOrFail(reason: string): DispatchEnd | "again" {
    const run = this.#run;
    if (run.hasAttemptsLeft && run.remaining() > 0) return "again";
    return this.#fail(reason);
  }
}
