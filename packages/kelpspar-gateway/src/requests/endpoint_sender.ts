import type { EndpointChoice } from "../endpoints/choose_endpoint.ts";
import type { EndpointState } from "../endpoints/endpoint_state.ts";
import type { RequestRun } from "./request_run.ts";
import type { Sent } from "./sent.ts";
import type { StreamRelay } from "./stream_relay.ts";
import { chooseForRequest } from "./choose_for_request.ts";
import { firstGood, isOverdue } from "./hedge.ts";

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
 * A stream that may go on elsewhere does when no answer begins so long after
 * it should have, milliseconds.
 */
const FIRST_EVENT_SILENCE_MILLISECONDS = 1_500;

/** Sends one request to endpoints and counts what that tells of them. */
export class EndpointSender {
  /** Handles of the results that the request reads. */
  inputs: readonly string[] | undefined;
  readonly #run: RequestRun;
  readonly #relay: StreamRelay;
  readonly #tried = new Set<string>();

  constructor(run: RequestRun, relay: StreamRelay) {
    this.#run = run;
    this.#relay = relay;
  }

  get hasTried(): boolean {
    return this.#tried.size > 0;
  }

  /** True when an endpoint is left that takes only so many requests. */
  get hasLimited(): boolean {
    const { parts, service } = this.#run.options;
    const now = parts.timer.now();
    return parts.book.availableFor(service).some((one) =>
      !this.#tried.has(one.entry.id) &&
      one.remainingPauseMilliseconds(now) === 0 &&
      parts.gate.limitOf(one, now) !== undefined
    );
  }

  choose(): EndpointChoice | undefined {
    return chooseForRequest(this.#run, this.#tried);
  }

  /** Takes a repeat from the budget of the fleet; first sends are free. */
  mayRepeat(): boolean {
    const { parts, service } = this.#run.options;
    const now = parts.timer.now();
    if (this.#run.sends >= MOST_SENDS) return false;
    if (this.#run.sends === 0) parts.budget.recordRequest(service, now);
    if (this.#run.arrivals === 0) return true;
    const sharers = parts.sharers();
    return parts.budget.trySpend(service, { count: 1, sharers, now });
  }

  /** Sends, and once more elsewhere when a short repeatable call is overdue. */
  async send(choice: EndpointChoice): Promise<Sent> {
    const { parts, route } = this.#run.options;
    const first = this.#sendTo(choice);
    if (route.kind !== "idempotent") return await first;
    const expected = parts.times.of(route.name, false);
    const wait = Math.max(LEAST_HEDGE_MILLISECONDS, expected * HEDGE_FACTOR);
    const isLate = await isOverdue(first, wait, parts.timer);
    const run = this.#run;
    const mayHedge = isLate && run.isOpen && run.hasAttemptsLeft &&
      !run.isQuarantined;
    if (!mayHedge) return await first;
    const second = this.choose();
    if (second === undefined || !this.mayRepeat()) return await first;
    return await firstGood([first, this.#sendTo(second)]);
  }

  /** Takes in how long an endpoint took until its answer began. */
  recordFirstByte(sent: Sent): void {
    const { parts, route } = this.#run.options;
    const now = parts.timer.now();
    const isStream = route.kind === "stream";
    const took = now - sent.sentAt;
    const expected = parts.times.of(route.name, isStream);
    sent.endpoint.succeeded(took / Math.max(1, expected), now);
    parts.times.record(route.name, took, isStream);
  }

  logFailure(sent: Sent, reason: string): void {
    const { parts, request, service } = this.#run.options;
    const now = parts.timer.now();
    parts.log.warn("endpoint call failed", {
      attempt: request.attemptId,
      fingerprint: this.#run.fingerprint,
      service,
      endpoint: sent.endpoint.entry.id,
      reason,
      tookMilliseconds: Math.round(now - sent.sentAt),
      runs: this.#run.runs,
      isSetAside: sent.endpoint.isSetAside(now),
    });
  }

  async #sendTo(choice: EndpointChoice): Promise<Sent> {
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
    endpoint.ended.addEventListener("abort", onStop, { once: true });
    const stopSilence = this.#watchFirstEvent(stop);
    const stopOverdue = this.#watchOverdue(endpoint);
    const answer = await parts.endpoints.send({
      endpoint: endpoint.entry,
      request,
      remainingMilliseconds: Math.max(1, Math.floor(run.remaining())),
      account: account?.name,
      priority: run.priority,
      inputs: this.inputs,
      lastEventId: this.#relay.lastEventId,
      promptSource: home?.entry.address,
      signal: stop.signal,
    });
    stopSilence();
    stopOverdue();
    endpoint.ended.removeEventListener("abort", onStop);
    endpoint.inFlight--;
    const didNotRun = answer.type === "not_run" ||
      answer.type === "unreachable";
    if (didNotRun) run.runs--;
    if (answer.type === "unreachable") run.arrivals--;
    parts.metrics.countCall(service, answer.type);
    const answeredAt = answer.type === "answered"
      ? parts.timer.now()
      : undefined;
    return { endpoint, answer, sentAt, answeredAt };
  }

  /**
   * Counts an answer that is long overdue as a failure while it is still
   * waited for. An endpoint that takes requests and says nothing would
   * otherwise get more of them until the first one's deadline.
   */
  #watchOverdue(endpoint: EndpointState): () => void {
    const { parts, route, request } = this.#run.options;
    const expected = parts.times.of(route.name, route.kind === "stream");
    const after = expected * OVERDUE_FACTOR + OVERDUE_MILLISECONDS;
    return parts.timer.registerTimeout(() => {
      endpoint.failed(false, parts.timer.now());
      parts.log.warn("endpoint answer overdue", {
        attempt: request.attemptId,
        endpoint: endpoint.entry.id,
        afterMilliseconds: Math.round(after),
        isSetAside: endpoint.isSetAside(parts.timer.now()),
      });
    }, after);
  }

  /** Ends a stream that may go on elsewhere when no answer begins. */
  #watchFirstEvent(stop: AbortController): () => void {
    const { parts, route } = this.#run.options;
    if (route.kind !== "stream" || !this.#run.hasAttemptsLeft) return () => {};
    const expected = parts.times.of(route.name, true);
    return parts.timer.registerTimeout(
      () => stop.abort(),
      expected * HEDGE_FACTOR + FIRST_EVENT_SILENCE_MILLISECONDS,
    );
  }

  #logSend({ endpoint, home, isPlaced }: EndpointChoice): void {
    const { parts, request, service } = this.#run.options;
    const now = parts.timer.now();
    parts.log.info("request sent", {
      attempt: request.attemptId,
      fingerprint: this.#run.fingerprint,
      service,
      endpoint: endpoint.entry.id,
      home: home?.entry.id,
      isPlaced: isPlaced === true,
      limitPerSecond: parts.gate.limitOf(endpoint, now),
      inFlight: endpoint.inFlight,
      slowness: Number(endpoint.slowness(now).toFixed(2)),
      isSetAside: endpoint.isSetAside(now),
      tried: this.#tried.size,
      remainingMilliseconds: Math.round(this.#run.remaining()),
      lastEventId: this.#relay.lastEventId,
    });
  }
}
