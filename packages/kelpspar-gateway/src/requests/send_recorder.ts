import type { EndpointRefusal } from "./endpoint_call.ts";
import type { AnswerEvidence, EventTimes } from "./answer_evidence.ts";
import type { BufferedAnswer } from "./buffered_answer.ts";
import type { CutDescription } from "./describe_cut.ts";
import type { EndpointSender } from "./endpoint_sender.ts";
import type { RequestRun } from "./request_run.ts";
import type { ReceivedAnswer, SendResult } from "./send_result.ts";
import { reportBodyLimit } from "../exchange/report_body_limit.ts";
import { describeCut } from "./describe_cut.ts";
import { readAnswerBody } from "./read_answer_body.ts";
import { closeAnswer } from "./send_result.ts";

/** Options of a `SendRecorder`. */
export interface SendRecorderOptions {
  readonly sender: Pick<EndpointSender, "logFailure">;
  readonly evidence: Pick<AnswerEvidence, "reportTruncated">;
}

/** Records what sends of one request show of their endpoints. */
export class SendRecorder {
  /** Last error answer of an endpoint, returned if all retries fail too. */
  fallback: BufferedAnswer | undefined;
  readonly #run: RequestRun;
  readonly #sender: SendRecorderOptions["sender"];
  readonly #evidence: SendRecorderOptions["evidence"];
  /** Sends whose result was recorded, and when all of it was. */
  readonly #recorded = new WeakMap<SendResult, Promise<void>>();

  constructor(run: RequestRun, { sender, evidence }: SendRecorderOptions) {
    this.#run = run;
    this.#sender = sender;
    this.#evidence = evidence;
  }

  /** Whether the result of a send was recorded. */
  has(result: SendResult): boolean {
    return this.#recorded.has(result);
  }

  /** Records what a send shows that isn't answered from, once. */
  record(result: SendResult): Promise<void> {
    const known = this.#recorded.get(result);
    if (known !== undefined) return known;
    const recorded = this.#recordNow(result);
    this.#recorded.set(result, recorded);
    return recorded;
  }

  /** Resolves when a crash of the endpoint is known, if that matters. */
  async #recordNow(result: SendResult): Promise<void> {
    const { answer } = result;
    switch (answer.type) {
      case "answered":
        return await this.#discardAnswer(result, answer);
      case "unreachable":
        return this.#recordFailure(result, answer.reason, answer.isRefused);
      case "not_run":
        return this.#recordRefusal(result, answer.refusal);
      case "unknown":
        this.#recordFailure(result, answer.reason);
        await this.#evidence.reportTruncated(result);
    }
  }

  /** Keeps an error answer as the fallback if no other answer has begun. */
  async #discardAnswer(
    result: SendResult,
    answer: ReceivedAnswer,
  ): Promise<void> {
    const { status, headers } = answer;
    if (status >= 500) this.#recordFailure(result, `status ${status}`);
    if (status < 500 || this.#run.firstByteAt !== undefined) {
      closeAnswer(result);
      return;
    }
    try {
      const body = await readAnswerBody(this.#run, answer);
      this.fallback = { status, headers, body };
    } catch {
      // The answer was cut; its failure is recorded already.
    }
  }

  #recordRefusal(result: SendResult, refusal: EndpointRefusal): void {
    this.#sender.logFailure(result, refusal);
    const { endpoint } = result;
    const { concurrency, endpointRegistry } = this.#run.options.dependencies;
    if (refusal === "full") concurrency.recordRefusal(endpoint);
    if (refusal === "replaced") endpointRegistry.retire(endpoint.entry);
    if (refusal === "input_gone") this.#run.releaseResults();
  }

  /** Records an answer that wasn't whole. */
  recordCut(
    result: SendResult,
    error: unknown,
    { times, isKnown }: {
      readonly times: EventTimes;
      /** Whether the endpoint counts as failing already. */
      readonly isKnown: boolean;
    },
  ): void {
    const reason = error instanceof Error ? error.message : String(error);
    reportBodyLimit(this.#run.options.dependencies.malformedAnswers, error, {
      sender: result.endpoint.entry.id,
      hasFailedCall: true,
    });
    const description = `answer cut: ${reason}`;
    if (isKnown) this.#sender.logFailure(result, description);
    else this.#recordFailure(result, description);
    this.#reportCut(result, describeCut(error), times);
  }

  #reportCut(
    { endpoint }: SendResult,
    { endedBy, cause }: CutDescription,
    { firstEventAt, lastEventAt = firstEventAt }: EventTimes,
  ): void {
    const run = this.#run;
    const { dependencies, request, service } = run.options;
    const { log, metrics } = dependencies;
    const now = run.now();
    metrics.countCutAnswer({ service, endedBy, cause });
    log.info("answer cut", {
      attempt: request.attemptId,
      endpoint: endpoint.entry.id,
      endedBy,
      cause,
      sinceFirstEventMilliseconds: roundedAge(firstEventAt, now),
      sinceLastEventMilliseconds: roundedAge(lastEventAt, now),
      openCalls: endpoint.inFlight,
      attemptsLeft: run.attemptsLeft,
      remainingMilliseconds: Math.round(run.remaining()),
    });
  }

  #recordFailure(result: SendResult, reason: string, isCertain = false): void {
    result.endpoint.failed(isCertain, this.#run.now());
    this.#sender.logFailure(result, reason);
  }
}

function roundedAge(at: number | undefined, now: number): number | undefined {
  return at === undefined ? undefined : Math.round(now - at);
}
