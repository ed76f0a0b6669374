import type { EndpointState } from "../endpoints/endpoint_state.ts";
import type { EndpointChoice } from "../endpoints/choose_endpoint.ts";
import type { EndpointAnswer, EndpointRefusal } from "./endpoint_call.ts";
import type { RequestRun } from "./request_run.ts";
import { chooseEndpoint } from "../endpoints/choose_endpoint.ts";
import { promptAffinity } from "./prompt_affinity.ts";
import { readBody } from "./read_body.ts";
import { StreamRelay } from "./stream_relay.ts";

/** A caller comes back this long after all endpoints were full, ms. */
const FULL_RETRY_MILLISECONDS = 300;
/** The same when no endpoint is known or could be reached. */
const NO_ENDPOINT_RETRY_MILLISECONDS = 700;
/** Endpoints that refuse or can't be reached, before the caller is told. */
const MOST_SENDS = 6;
/**
 * A repeatable call that takes so many times what it should is sent to a
 * second endpoint while there is time to be on time.
 */
const HEDGE_FACTOR = 2;
const LEAST_HEDGE_MILLISECONDS = 40;
/** An answer is overdue after so many times what it should take, */
const OVERDUE_FACTOR = 3;
/** and this much more, milliseconds. */
const OVERDUE_MILLISECONDS = 250;
/**
 * A stream that may go on elsewhere does after such a silence: some times the
 * longest pause of a sound endpoint, so that slow ones aren't given up.
 */
const STREAM_SILENCE_MILLISECONDS = 1_500;
/** The same before the first event, in addition to what it should take. */
const FIRST_EVENT_SILENCE_MILLISECONDS = 1_500;

/** Why a dispatch ended without the request's final answer. */
export type DispatchEnd = "ended" | "input_gone";

interface WholeAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

interface Sent {
  readonly endpoint: EndpointState;
  readonly answer: EndpointAnswer;
  readonly sentAt: number;
}

/**
 * Sends a request to endpoints until it is answered or can't be. It is run
 * again when the results that the request reads were lost and made anew, and
 * then goes on where a stream stopped.
 */
export class RequestDispatch {
  readonly #run: RequestRun;
  readonly #hasStages: boolean;
  readonly #tried = new Set<string>();
  readonly #relay: StreamRelay;
  #inputs: readonly string[] | undefined;
  /** The last failure of an endpoint's own, if nothing better comes. */
  #fallback: WholeAnswer | undefined;

  constructor(run: RequestRun, hasStages: boolean) {
    this.#run = run;
    this.#hasStages = hasStages;
    this.#relay = new StreamRelay(run.options.request.lastEventId);
  }

  async run(): Promise<DispatchEnd> {
    const run = this.#run;
    if (this.#hasStages) this.#inputs = run.heldHandles;
    while (run.isOpen) {
      // Results are freed at a stream's first event. An endpoint that goes on
      // with it reads them too, so that sending it there would be in vain.
      if (this.#areInputsFreed) return "input_gone";
      const choice = this.#choose();
      if (choice === undefined) {
        this.#noEndpoint();
        return "ended";
      }
      if (!this.#mayRepeat()) {
        this.giveUp("repeats used up", FULL_RETRY_MILLISECONDS);
        return "ended";
      }
      const sent = await this.#sendHedged(choice);
      if (!run.isOpen) {
        if (sent.answer.type === "answered") sent.answer.close();
        return "ended";
      }
      const end = await this.#take(sent);
      if (end !== "again") return end;
    }
    return "ended";
  }

  #choose(): EndpointChoice | undefined {
    const { parts, service, request } = this.#run.options;
    const isModel = parts.configuration.table?.findService(service)
      ?.engineSlots !== undefined;
    return chooseEndpoint({
      endpoints: parts.book.ofService(service),
      tried: this.#tried,
      zone: parts.zone,
      affinity: isModel ? promptAffinity(request.promptParts) : undefined,
      random: parts.random,
      now: parts.timer.now(),
    });
  }

  #noEndpoint(): void {
    const wait = this.#tried.size > 0
      ? FULL_RETRY_MILLISECONDS
      : NO_ENDPOINT_RETRY_MILLISECONDS;
    this.giveUp("no endpoint left", wait);
  }

  /** Takes a repeat from the budget of the fleet; first sends are free. */
  #mayRepeat(): boolean {
    const { parts, service } = this.#run.options;
    const now = parts.timer.now();
    if (this.#run.sends >= MOST_SENDS) return false;
    if (this.#run.sends === 0) parts.budget.recordRequest(service, now);
    if (this.#run.arrivals === 0) return true;
    const sharers = parts.sharers();
    return parts.budget.trySpend(service, { count: 1, sharers, now });
  }

  get #areInputsFreed(): boolean {
    return (this.#inputs?.length ?? 0) > 0 &&
      this.#run.heldHandles.length === 0;
  }

  get #isRepeatable(): boolean {
    const { route } = this.#run.options;
    return route.kind === "idempotent" ||
      (route.kind === "stream" && route.isResumable);
  }

  get #hasAttemptsLeft(): boolean {
    return this.#isRepeatable &&
      this.#run.runs < this.#run.options.route.attempts;
  }

  /** Sends, and once more elsewhere when a short repeatable call is overdue. */
  async #sendHedged(choice: EndpointChoice): Promise<Sent> {
    const { parts, route } = this.#run.options;
    const first = this.#send(choice);
    if (route.kind !== "idempotent") return await first;
    const expected = parts.times.of(route.name, false);
    const wait = Math.max(LEAST_HEDGE_MILLISECONDS, expected * HEDGE_FACTOR);
    const isOverdue = await this.#isOverdue(first, wait);
    if (!isOverdue || !this.#run.isOpen || !this.#hasAttemptsLeft) {
      return await first;
    }
    const second = this.#choose();
    if (second === undefined || !this.#mayRepeat()) return await first;
    return await this.#firstGood([first, this.#send(second)]);
  }

  async #isOverdue(sent: Promise<Sent>, wait: number): Promise<boolean> {
    const { timer } = this.#run.options.parts;
    return await new Promise((resolve) => {
      const stop = timer.registerTimeout(() => resolve(true), wait);
      void sent.then(() => {
        stop();
        resolve(false);
      });
    });
  }

  /** The first good answer of two; the other one is closed. */
  async #firstGood(sends: readonly Promise<Sent>[]): Promise<Sent> {
    return await new Promise((resolve) => {
      let open = sends.length;
      let isDone = false;
      for (const send of sends) {
        void send.then((sent) => {
          open--;
          const isGood = sent.answer.type === "answered" &&
            sent.answer.status < 500;
          if (isDone) {
            if (sent.answer.type === "answered") sent.answer.close();
          } else if (isGood || open === 0) {
            isDone = true;
            resolve(sent);
          }
        });
      }
    });
  }

  async #send(choice: EndpointChoice): Promise<Sent> {
    const run = this.#run;
    const { parts, request, service, account } = run.options;
    const { endpoint, home } = choice;
    const sentAt = parts.timer.now();
    this.#tried.add(endpoint.entry.id);
    this.#logSend(choice);
    run.sends++;
    run.arrivals++;
    run.runs++;
    endpoint.inFlight++;
    const stop = new AbortController();
    const onStop = (): void => stop.abort();
    run.stop.signal.addEventListener("abort", onStop, { once: true });
    const stopSilence = this.#watchFirstEvent(stop);
    const stopOverdue = this.#watchOverdue(endpoint);
    const answer = await parts.endpoints.send({
      endpoint: endpoint.entry,
      request,
      remainingMilliseconds: Math.max(1, Math.floor(run.remaining())),
      account: account?.name,
      priority: run.priority,
      inputs: this.#inputs,
      lastEventId: this.#relay.lastEventId,
      promptSource: home?.entry.address,
      signal: stop.signal,
    });
    stopSilence();
    stopOverdue();
    endpoint.inFlight--;
    const didNotRun = answer.type === "not_run" ||
      answer.type === "unreachable";
    if (didNotRun) run.runs--;
    if (answer.type === "unreachable") run.arrivals--;
    parts.metrics.countCall(service, answer.type);
    return { endpoint, answer, sentAt };
  }

  /**
   * Counts an answer that is long overdue as a failure while it is still
   * waited for. An endpoint that takes requests and says nothing would
   * otherwise get more of them until the first one's deadline.
   */
  #watchOverdue(endpoint: EndpointState): () => void {
    const { parts, route } = this.#run.options;
    const expected = parts.times.of(route.name, route.kind === "stream");
    const after = expected * OVERDUE_FACTOR + OVERDUE_MILLISECONDS;
    return parts.timer.registerTimeout(() => {
      endpoint.failed(false, parts.timer.now());
      parts.log.warn("endpoint answer overdue", {
        attempt: this.#run.options.request.attemptId,
        endpoint: endpoint.entry.id,
        afterMilliseconds: Math.round(after),
        isSetAside: endpoint.isSetAside(parts.timer.now()),
      });
    }, after);
  }

  /** Ends a stream that may go on elsewhere when no answer begins. */
  #watchFirstEvent(stop: AbortController): () => void {
    const { parts, route } = this.#run.options;
    if (route.kind !== "stream" || !this.#hasAttemptsLeft) return () => {};
    const expected = parts.times.of(route.name, true);
    return parts.timer.registerTimeout(
      () => stop.abort(),
      expected * HEDGE_FACTOR + FIRST_EVENT_SILENCE_MILLISECONDS,
    );
  }

  async #take(sent: Sent): Promise<DispatchEnd | "again"> {
    const { answer, endpoint } = sent;
    const now = this.#run.options.parts.timer.now();
    switch (answer.type) {
      case "answered":
        return await this.#takeAnswer(sent, answer);
      case "unreachable":
        endpoint.failed(answer.isRefused, now);
        this.#logFailure(sent, answer.reason);
        return "again";
      case "not_run":
        return this.#takeRefusal(sent, answer.refusal);
      case "unknown":
        endpoint.failed(false, now);
        this.#logFailure(sent, answer.reason);
        return this.#againOrFail(answer.reason);
    }
  }

  #takeRefusal(sent: Sent, refusal: EndpointRefusal): DispatchEnd | "again" {
    this.#logFailure(sent, refusal);
    const { book } = this.#run.options.parts;
    const handlers: Readonly<
      Record<EndpointRefusal, () => DispatchEnd | "again">
    > = {
      full: () => "again",
      replaced: () => {
        book.leave(sent.endpoint.entry.id);
        return "again";
      },
      input_gone: () => "input_gone",
      rejected: () => {
        this.giveUp("rejected by endpoint", FULL_RETRY_MILLISECONDS);
        return "ended";
      },
    };
    return handlers[refusal]();
  }

  #againOrFail(reason: string): DispatchEnd | "again" {
    if (this.#hasAttemptsLeft && this.#run.remaining() > 0) return "again";
    this.giveUp(reason, FULL_RETRY_MILLISECONDS);
    return "ended";
  }

  async #takeAnswer(
    sent: Sent,
    answer: Extract<EndpointAnswer, { type: "answered" }>,
  ): Promise<DispatchEnd | "again"> {
    const { route } = this.#run.options;
    const isStream = route.kind === "stream" && answer.status < 300;
    return isStream
      ? await this.#relayStream(sent, answer)
      : await this.#passWhole(sent, answer);
  }

  async #passWhole(
    sent: Sent,
    answer: Extract<EndpointAnswer, { type: "answered" }>,
  ): Promise<DispatchEnd | "again"> {
    const run = this.#run;
    const { parts } = run.options;
    let body: Buffer;
    try {
      body = await readBody(answer.body);
    } catch (error) {
      return this.#cut(sent, error);
    } finally {
      answer.close();
    }
    if (!run.isOpen) return "ended";
    const now = parts.timer.now();
    if (answer.status >= 500) sent.endpoint.failed(false, now);
    else this.#recordFirstByte(sent);
    // An endpoint's own failure of a repeatable request may be mended by
    // another one; otherwise it is passed on as it is.
    const mayMend = answer.status >= 500 && this.#hasAttemptsLeft;
    if (mayMend) {
      this.#logFailure(sent, `status ${answer.status}`);
      this.#fallback = { status: answer.status, headers: answer.headers, body };
      return "again";
    }
    this.#pass({ status: answer.status, headers: answer.headers, body });
    return "ended";
  }

  #pass(answer: WholeAnswer): void {
    const { reply, parts } = this.#run.options;
    this.#run.firstByteAt = parts.timer.now();
    reply.answer(answer.status, answer.headers, answer.body);
    const end = answer.status < 500 ? "served" : "failed";
    this.#run.finish(end, { status: answer.status });
  }

  /** Ends the request with the best that there is. */
  giveUp(
    reason: string,
    retryAfterMilliseconds = FULL_RETRY_MILLISECONDS,
  ): void {
    if (this.#run.firstByteAt !== undefined) {
      this.#run.breakOff(reason);
    } else if (this.#fallback !== undefined) this.#pass(this.#fallback);
    else this.#run.giveUp(reason, retryAfterMilliseconds);
  }

  async #relayStream(
    sent: Sent,
    answer: Extract<EndpointAnswer, { type: "answered" }>,
  ): Promise<DispatchEnd | "again"> {
    const run = this.#run;
    const { endpoint } = sent;
    const onStop = (): void => answer.close();
    run.stop.signal.addEventListener("abort", onStop, { once: true });
    endpoint.inFlight++;
    try {
      await this.#relayChunks(sent, answer);
    } catch (error) {
      if (!run.isOpen) return "ended";
      this.#relay.dropRest();
      return this.#cut(sent, error);
    } finally {
      endpoint.inFlight--;
      run.stop.signal.removeEventListener("abort", onStop);
      answer.close();
    }
    if (!run.isOpen) return "ended";
    this.#begin(answer);
    const rest = this.#relay.takeRest();
    if (rest.length > 0) await run.options.reply.write(rest);
    run.options.reply.end();
    run.finish("served", { endpoint: endpoint.entry.id, status: 200 });
    return "ended";
  }

  async #relayChunks(
    sent: Sent,
    answer: Extract<EndpointAnswer, { type: "answered" }>,
  ): Promise<void> {
    const run = this.#run;
    const { reply, parts } = run.options;
    const watch = { stop: this.#watchSilence(answer) };
    try {
      for await (const chunk of answer.body) {
        if (!run.isOpen) return;
        watch.stop();
        const events = this.#relay.take(chunk as Buffer);
        if (events.length > 0) {
          if (run.firstByteAt === undefined) {
            run.firstByteAt = parts.timer.now();
            this.#recordFirstByte(sent);
            // The endpoint has read its inputs once it writes.
            run.releaseResults();
          }
          this.#begin(answer);
          await reply.write(events);
        }
        watch.stop = this.#watchSilence(answer);
      }
    } finally {
      watch.stop();
    }
  }

  #hasBegun = false;

  #begin(answer: Extract<EndpointAnswer, { type: "answered" }>): void {
    if (this.#hasBegun) return;
    this.#hasBegun = true;
    this.#run.options.reply.begin(answer.status, answer.headers);
  }

  #watchSilence(
    answer: Extract<EndpointAnswer, { type: "answered" }>,
  ): () => void {
    if (!this.#hasAttemptsLeft) return () => {};
    return this.#run.options.parts.timer.registerTimeout(
      () => answer.close(),
      STREAM_SILENCE_MILLISECONDS,
    );
  }

  #cut(sent: Sent, error: unknown): DispatchEnd | "again" {
    const reason = error instanceof Error ? error.message : String(error);
    const { parts } = this.#run.options;
    sent.endpoint.failed(false, parts.timer.now());
    this.#logFailure(sent, `answer cut: ${reason}`);
    return this.#againOrFail("answer cut");
  }

  #recordFirstByte(sent: Sent): void {
    const { parts, route } = this.#run.options;
    const now = parts.timer.now();
    const isStream = route.kind === "stream";
    const took = now - sent.sentAt;
    const expected = parts.times.of(route.name, isStream);
    sent.endpoint.succeeded(took / Math.max(1, expected), now);
    parts.times.record(route.name, took, isStream);
  }

  #logSend({ endpoint, home }: EndpointChoice): void {
    const { parts, request, service } = this.#run.options;
    const now = parts.timer.now();
    parts.log.info("request sent", {
      attempt: request.attemptId,
      service,
      endpoint: endpoint.entry.id,
      home: home?.entry.id,
      inFlight: endpoint.inFlight,
      slowness: Number(endpoint.slowness(now).toFixed(2)),
      isSetAside: endpoint.isSetAside(now),
      tried: this.#tried.size,
      remainingMilliseconds: Math.round(this.#run.remaining()),
      lastEventId: this.#relay.lastEventId,
    });
  }

  #logFailure(sent: Sent, reason: string): void {
    const { parts, request, service } = this.#run.options;
    const now = parts.timer.now();
    parts.log.warn("endpoint call failed", {
      attempt: request.attemptId,
      service,
      endpoint: sent.endpoint.entry.id,
      reason,
      tookMilliseconds: Math.round(now - sent.sentAt),
      runs: this.#run.runs,
      isSetAside: sent.endpoint.isSetAside(now),
    });
  }
}
