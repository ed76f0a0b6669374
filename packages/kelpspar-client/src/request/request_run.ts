import type { DaemonAddress } from "kelpspar-shared";
import type { Answer } from "../answer/answer.ts";
import type { AttemptResult, UnfinishedResult } from "./attempt_result.ts";
import type { ClientRequest } from "./client_request.ts";
import type { RunErrorOptions } from "./run_error.ts";
import type { RunOptions } from "./run_options.ts";
import type { RunState } from "./run_state.ts";
import type { GiveUp, Step } from "./step.ts";
import { KelpsparError } from "kelpspar-shared";
import { AnswerText } from "../answer/answer_text.ts";
import { advanceRun } from "./advance_run.ts";
import { Attempt } from "./attempt.ts";
import { DaemonSelector } from "./daemon_selector.ts";
import { toCancelError, toDeadlineError, toRunError } from "./run_error.ts";
import { RunLifetime } from "./run_lifetime.ts";
import { createRunState, mayHaveRun } from "./run_state.ts";
import { stepWait } from "./step_wait.ts";
import { toExchange } from "./to_exchange.ts";

/** Runs one request from its first step to its whole answer or its error. */
export class RequestRun {
  readonly #request: ClientRequest;
  readonly #options: RunOptions;
  readonly #text = new AnswerText();
  readonly #lifetime: RunLifetime;
  readonly #selector: DaemonSelector;
  #state: RunState;
  #requestId: string | undefined;
  #lastResult: UnfinishedResult | undefined;

  /** The deadline starts when the run is constructed. */
  constructor(request: ClientRequest, options: RunOptions) {
    const { services, signal, firstKind } = options;
    this.#request = request;
    this.#options = options;
    this.#lifetime = new RunLifetime({
      timer: services.timer,
      deadlineMilliseconds: request.deadlineMilliseconds,
      signals: signal === undefined
        ? [services.closing]
        : [services.closing, signal],
    });
    const isLookUp = firstKind === "look_up";
    const nonIdempotent = isLookUp || (request.nonIdempotent ?? false);
    const key = request.idempotencyKey;
    const mintsKeys = nonIdempotent && key === undefined;
    this.#selector = new DaemonSelector({ services, key, mintsKeys });
    this.#state = createRunState({
      nonIdempotent,
      hasKey: nonIdempotent || key !== undefined,
      mintsKeys,
      currentMayHaveRun: isLookUp,
    });
  }

  /** Yields pieces of text; returns the answer or throws KelpsparError. */
  async *pieces(): AsyncGenerator<string, Answer, void> {
    let shouldKeepRunning = false;
    try {
      const answer = yield* this.#runToAnswer();
      shouldKeepRunning = true;
      this.#options.services.budget.recordSuccess();
      return answer;
    } catch (error) {
      shouldKeepRunning = !this.#lifetime.isCancelled &&
        this.#state.nonIdempotent;
      throw error;
    } finally {
      this.#lifetime.release();
      if (!shouldKeepRunning) this.#cancel();
    }
  }

  async *#runToAnswer(): AsyncGenerator<string, Answer, void> {
    let step = firstStep(this.#options.firstKind);
    for (;;) {
      this.#throwIfEnded();
      const result = yield* this.#runStep(step);
      if (result.type === "whole") return result.answer;
      this.#lastResult = result;
      const { state, next } = advanceRun(this.#state, {
        kind: step.kind,
        result,
      });
      this.#state = state;
      this.#throwIfEnded();
      step = this.#authorize(next);
      await this.#wait(step);
    }
  }

  async *#runStep(step: Step): AsyncGenerator<string, AttemptResult, void> {
    const chosen = await this.#lifetime.raceWithEnd(
      this.#selector.choose(step),
    );
    if (chosen === undefined) return { type: "refused", message: "Ended" };
    if ("type" in chosen) return chosen;
    if (step.kind === "submit") this.#requestId = undefined;
    if (step.kind !== "attach" || this.#text.state === "corrupt") {
      this.#text.restart();
    }
    const attempt = this.#createAttempt(chosen, step);
    const records = attempt.run();
    try {
      for (;;) {
        const progress = await records.next();
        this.#requestId = attempt.requestId ?? this.#requestId;
        const piece = this.#consumePiece();
        if (piece !== "") yield piece;
        if (progress.done) return progress.value;
      }
    } finally {
      await records.return({ type: "refused", message: "Left" });
    }
  }

  #createAttempt(daemon: DaemonAddress, step: Step): Attempt {
    const { services } = this.#options;
    const { nonIdempotent, idleSteps } = this.#state;
    const exchange = toExchange(step.kind, {
      request: this.#request,
      key: this.#selector.key,
      isResubmission: mayHaveRun(this.#state),
      requestId: this.#requestId,
      offset: this.#text.offset,
      remaining: this.#lifetime.remaining,
    });
    return new Attempt(daemon, {
      transport: services.transport,
      timer: services.timer,
      progressTimeoutMilliseconds: services.progressTimeoutMilliseconds,
      text: this.#text,
      exchange: { ...exchange, isolated: nonIdempotent || idleSteps > 0 },
      signal: this.#lifetime.signal,
      expectedRequestId: this.#requestId,
      isAttaching: step.kind === "attach",
    });
  }

  #consumePiece(): string {
    if (!this.#options.isStreamed) return "";
    if (!this.#text.hasDiverged()) return this.#text.consumeUndelivered();
    throw new KelpsparError(
      "stream_cut",
      "The answer was cut off, and the retry produced a different text",
    );
  }

  /** Throws if the run gives up or the retry budget is exhausted. */
  #authorize(next: Step | GiveUp): Step {
    if (next.type === "give_up") {
      throw toRunError(this.#errorOptions(next.isFinal));
    }
    const { budget } = this.#options.services;
    if (next.isRetry && !budget.spend()) {
      throw toRunError(this.#errorOptions(false));
    }
    return next;
  }

  /** Fails immediately if the wait would exceed the deadline. */
  async #wait(step: Step): Promise<void> {
    const { random } = this.#options.services;
    const { idleSteps } = this.#state;
    const milliseconds = stepWait(step, { idleSteps, random });
    if (milliseconds >= this.#lifetime.remaining) {
      throw toRunError(this.#errorOptions(false));
    }
    await this.#lifetime.wait(milliseconds);
  }

  #throwIfEnded(): void {
    if (!this.#lifetime.hasEnded) return;
    const options = this.#errorOptions(false);
    throw this.#lifetime.isCancelled
      ? toCancelError(options)
      : toDeadlineError(options);
  }

  #errorOptions(isFinal: boolean): RunErrorOptions {
    return {
      state: this.#state,
      result: this.#lastResult,
      isFinal,
      key: this.#selector.key,
    };
  }

  /** Cancels the request at its daemon, to free the endpoint that runs it. */
  #cancel(): void {
    const { daemon } = this.#selector;
    const isOver = this.#lastResult?.type === "failed" &&
      this.#lastResult.accepted;
    if (daemon === undefined || this.#requestId === undefined || isOver) return;
    this.#options.services.cancel(daemon, this.#requestId);
  }
}

function firstStep(kind: "submit" | "look_up"): Step {
  return { type: "step", kind, where: "any", wait: "none", isRetry: false };
}
