import type { AccountConfiguration } from "kelpspar-configuration";
import type { ClaimSettlement } from "../claims/claim_listener.ts";
import type { ClaimService } from "../claims/claim_service.ts";
import type { ConfigurationIndexReader } from "../state/configuration_reader.ts";
import type { FinalRecord } from "./answer_log.ts";
import type { ArrivalCheck } from "./request_admission.ts";
import type { OnceGuard } from "./once_guard.ts";
import type { PipelineRunner } from "./pipeline_runner.ts";
import type { RequestContext } from "./request_context.ts";
import type { RequestKeys } from "./request_keys.ts";
import type { RequestRegistry } from "./request_registry.ts";
import type { AskHolder } from "./resolve_settlement.ts";
import type { LedgerDecision, StoredResult } from "kelpspar-decisions/claims";
import type {
  KelpsparError,
  RandomSource,
  SubmitRequest,
  TimerService,
} from "kelpspar-shared";
import { KelpsparError as ResultError, toKelpsparError } from "kelpspar-shared";
import { checkRequest } from "./check_request.ts";
import { ClaimedOnceGuard } from "./claimed_once_guard.ts";
import { createContext } from "./create_context.ts";
import {
  createEndRecord,
  createFailureRecord,
  createStoredResult,
} from "./final_records.ts";
import { FREE_ONCE_GUARD } from "./once_guard.ts";
import { onceStages } from "./select_once_stages.ts";
import {
  outcomeHere,
  withoutProof,
  withProvedOutcome,
} from "./request_outcome.ts";
import { fillFromStored } from "./stored_answer.ts";
import { answerSettlement } from "./resolve_settlement.ts";

/** What requests run on. */
export interface RequestServiceOptions {
  readonly configuration: ConfigurationIndexReader;
  readonly pipelines: PipelineRunner;
  readonly registry: RequestRegistry;
  readonly keys: RequestKeys;
  readonly claims: ClaimService;
  readonly arrivals: ArrivalCheck;
  readonly askHolder: (
    context: RequestContext,
  ) => AskHolder;
  readonly incarnation: string;
  readonly timer: TimerService;
  readonly random: RandomSource;
  /** How long a request goes on after its last reader left, milliseconds. */
  readonly abandonedGraceMilliseconds: number;
  readonly onEnd: (context: RequestContext, final: FinalRecord) => void;
  readonly onRefused: (accountId: string, error: KelpsparError) => void;
}

interface Run {
  readonly guard: OnceGuard;
  readonly claim?: ClaimedOnceGuard;
  readonly hasOnceStage: boolean;
}

/**
 * Takes callers' requests and runs each to its one final record, which is
 * given the moment the request is given up on.
 */
export class RequestService {
  readonly #options: RequestServiceOptions;

  constructor(options: RequestServiceOptions) {
    this.#options = options;
  }

  /**
   * Starts a request, or finds the one that its key names. Throws the refusal
   * of a request that was not started.
   */
  submit(
    account: AccountConfiguration,
    request: SubmitRequest,
  ): RequestContext {
    this.#options.arrivals.noteArrival();
    try {
      return this.#begin(account, request);
    } catch (thrown) {
      const error = toKelpsparError(thrown);
      this.#options.onRefused(account.id, error);
      throw request.resubmission ? withoutProof(error) : error;
    }
  }

  /** Says that a reader of an answer left. */
  readerLeft(context: RequestContext): void {
    const { timer, abandonedGraceMilliseconds } = this.#options;
    if (context.log.readers > 0 || context.log.final !== undefined) return;
    timer.registerTimeout(() => {
      if (context.log.readers > 0) return;
      this.cancel(context, "its caller went away");
    }, abandonedGraceMilliseconds);
  }

  /** Ends a request that nobody wants any more. */
  cancel(context: RequestContext, reason: string): void {
    context.abort.abort(
      new ResultError(
        "cancelled",
        `Request "${context.requestId}" was cancelled: ${reason}`,
      ),
    );
  }

  #begin(
    account: AccountConfiguration,
    request: SubmitRequest,
  ): RequestContext {
    const configuration = this.#options.configuration.current();
    if (configuration === undefined) {
      throw new ResultError("no_configuration", "No configuration is in force");
    }
    const checked = checkRequest(configuration, { account, request });
    const services = this.#options.configuration.services();
    const context = createContext(checked, {
      onceStages: onceStages(checked, services),
      requestId: this.#options.random.nextHexadecimal(12),
      now: this.#options.timer.now(),
    });
    const known = this.#options.keys.find(context);
    if (known !== undefined) return this.#follow(context, known);
    const hasOnceStage = context.onceStages.size > 0;
    this.#options.arrivals.check(checked, { repeatable: !hasOnceStage });
    const decision = this.#options.keys.begin(context);
    if (decision !== undefined && decision.type !== "run") {
      return this.#follow(context, decision);
    }
    const needsClaim = hasOnceStage && decision?.bound === false;
    this.#start(context, { hasOnceStage, needsClaim });
    return context;
  }

  #follow(
    context: RequestContext,
    decision: Exclude<LedgerDecision, { readonly type: "run" }>,
  ): RequestContext {
    if (decision.type === "attach") {
      const { registry } = this.#options;
      const running = registry.find(decision.requestId, context.account.id);
      if (running !== undefined) {
        running.mayRunElsewhere ||= context.request.resubmission;
        return running;
      }
      throw new ResultError(
        "outcome_unknown",
        "The request's run is not found",
      );
    }
    if (decision.type === "completed") {
      this.#answerStored(context, decision.result);
      return context;
    }
    if (decision.type === "reused") {
      throw new ResultError(
        "idempotency_key_reused",
        "The idempotency key was used before with another body",
      );
    }
    throw new ResultError(
      decision.result,
      "The idempotency key cannot be run here",
      { retryAfterMilliseconds: this.#options.arrivals.comeback() },
    );
  }

  #start(
    context: RequestContext,
    options: { readonly hasOnceStage: boolean; readonly needsClaim: boolean },
  ): void {
    const { hasOnceStage } = options;
    if (!options.needsClaim) {
      void this.#run(context, { guard: FREE_ONCE_GUARD, hasOnceStage });
      return;
    }
    const claim = new ClaimedOnceGuard({
      claims: this.#options.claims,
      context,
      idempotencyKey: context.request.idempotencyKey ?? "",
      daemon: this.#options.incarnation,
      timer: this.#options.timer,
      createStoreError: () => this.#options.arrivals.storeError(),
      onSettled: (settlement) => void this.#settle(context, settlement),
    });
    void this.#run(context, { guard: claim, claim, hasOnceStage });
  }

  async #run(context: RequestContext, run: Run): Promise<void> {
    const { timer, registry, pipelines, arrivals } = this.#options;
    const unregister = registry.register(context);
    arrivals.expectCalls(context);
    const stopDeadline = timer.registerTimeout(
      () => context.abort.abort(deadlineError(context)),
      context.deadlineAt - timer.now(),
    );
    const work = run.guard.ready().then(() =>
      pipelines.run(context, run.guard)
    );
    try {
      const text = await Promise.race([work, whenAborted(context)]);
      this.#finish(context, createEndRecord(context, timer.now()));
      this.#end(context, run, text);
    } catch (thrown) {
      this.#fail(context, { run, thrown });
      // A stage that must run once goes on after its caller was answered; its
      // result is kept for the caller's look-up.
      const text = await work.catch(() => undefined);
      this.#end(context, run, text);
    } finally {
      stopDeadline();
      for (const takeBack of context.expected.values()) takeBack();
      unregister();
    }
  }

  #fail(
    context: RequestContext,
    failure: { readonly run: Run; readonly thrown: unknown },
  ): void {
    if (context.log.final !== undefined) return;
    const error = toKelpsparError(failure.thrown);
    if (outcomeHere(context) === "not_run") failure.run.claim?.giveUp();
    const proved = KEEPS_OUTCOME.has(error.result)
      ? error
      : withProvedOutcome(error, context);
    this.#finish(context, createFailureRecord(context, proved));
  }

  #finish(context: RequestContext, final: FinalRecord): void {
    if (context.log.final !== undefined) return;
    context.log.finish(final);
    this.#options.onEnd(context, final);
  }

  #end(context: RequestContext, run: Run, text: string | undefined): void {
    const { keys, configuration } = this.#options;
    if (text !== undefined) {
      const limit = configuration.current()?.limits.resultKeepBytes ?? 0;
      const result = createStoredResult(context, { text, limit });
      run.claim?.complete(result);
      keys.end(context, { type: "completed", result });
      return;
    }
    run.claim?.giveUp();
    run.claim?.forget();
    const mayRepeat = !run.hasOnceStage || outcomeHere(context) === "not_run";
    keys.end(context, { type: mayRepeat ? "repeatable" : "outcome_unknown" });
  }

  /** Another operation holds the key: its result or its state is the answer. */
  async #settle(
    context: RequestContext,
    settlement: ClaimSettlement,
  ): Promise<void> {
    const answer = await answerSettlement(
      settlement,
      this.#options.askHolder(context),
    );
    if ("result" in answer) {
      this.#answerStored(context, answer.result);
      context.abort.abort(
        new ResultError("cancelled", "Answered from the store"),
      );
      return;
    }
    context.abort.abort(answer.error);
  }

  #answerStored(context: RequestContext, result: StoredResult): void {
    fillFromStored(context, result);
  }
}

/** Failures that speak of another run of the key than this one. */
const KEEPS_OUTCOME: ReadonlySet<string> = new Set([
  "in_progress",
  "outcome_unknown",
  "result_expired",
  "idempotency_key_reused",
]);

function deadlineError(context: RequestContext): KelpsparError {
  return new ResultError(
    "deadline_exceeded",
    `Request "${context.requestId}" did not end within ${context.request.deadlineMilliseconds} ms`,
  );
}

function whenAborted(context: RequestContext): Promise<never> {
  const { signal } = context.abort;
  return new Promise((_resolve, reject) => {
    if (signal.aborted) return reject(signal.reason);
    signal.addEventListener("abort", () => reject(signal.reason));
  });
}
