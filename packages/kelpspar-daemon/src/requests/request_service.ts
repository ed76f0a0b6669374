import type { AccountConfiguration } from "kelpspar-configuration";
import type { ClaimSettlement } from "../claims/claim_listener.ts";
import type { ClaimService } from "../claims/claim_service.ts";
import type { ConfigurationIndexReader } from "../state/configuration_reader.ts";
import type { FinalRecord } from "./answer_log.ts";
import type { RequestAdmission } from "./request_admission.ts";
import type { OnceGuard } from "./once_guard.ts";
import type { PipelineRunner } from "./pipeline_runner.ts";
import type { RequestContext } from "./request_context.ts";
import type { RequestKeys } from "./request_keys.ts";
import type { RequestRegistry } from "./request_registry.ts";
import type { ClaimHolderQuery } from "./resolve_settlement.ts";
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
import { UNRESTRICTED_ONCE_GUARD } from "./once_guard.ts";
import { selectOnceStages } from "./select_once_stages.ts";
import {
  localOutcome,
  withoutNotRun,
  withProvenOutcome,
} from "./request_outcome.ts";
import { appendStoredResult } from "./stored_answer.ts";
import { resolveSettlement } from "./resolve_settlement.ts";

/** Options of `RequestService`. */
export interface RequestServiceOptions {
  readonly configuration: ConfigurationIndexReader;
  readonly pipelines: PipelineRunner;
  readonly registry: RequestRegistry;
  readonly keys: RequestKeys;
  readonly claims: ClaimService;
  readonly admission: RequestAdmission;
  readonly createHolderQuery: (
    context: RequestContext,
  ) => ClaimHolderQuery;
  readonly incarnation: string;
  readonly timer: TimerService;
  readonly random: RandomSource;
  /** How long a request runs on without readers, milliseconds. */
  readonly abandonedGraceMilliseconds: number;
  readonly onEnd: (context: RequestContext, final: FinalRecord) => void;
  readonly onRefused: (accountId: string, error: KelpsparError) => void;
}

interface RequestRun {
  readonly guard: OnceGuard;
  readonly claim?: ClaimedOnceGuard;
  readonly hasOnceStage: boolean;
}

/**
 * Accepts callers' requests and runs each to exactly one final record, which is
 * written as soon as the request fails or is aborted.
 */
export class RequestService {
  readonly #options: RequestServiceOptions;

  constructor(options: RequestServiceOptions) {
    this.#options = options;
  }

  /**
   * Starts a request, or attaches to the one with the same idempotency key.
   * Throws the error of a request that was refused.
   */
  submit(
    account: AccountConfiguration,
    request: SubmitRequest,
  ): RequestContext {
    this.#options.admission.recordArrival();
    try {
      return this.#startOrAttach(account, request);
    } catch (thrown) {
      const error = toKelpsparError(thrown);
      this.#options.onRefused(account.id, error);
      throw request.resubmission ? withoutNotRun(error) : error;
    }
  }

  /** Cancels a request that stays without readers for the grace period. */
  onReaderDisconnected(context: RequestContext): void {
    const { timer, abandonedGraceMilliseconds } = this.#options;
    if (context.log.readers > 0 || context.log.final !== undefined) return;
    timer.registerTimeout(() => {
      if (context.log.readers > 0) return;
      this.cancel(context, "its caller went away");
    }, abandonedGraceMilliseconds);
  }

  /** Aborts a request whose result is no longer needed. */
  cancel(context: RequestContext, reason: string): void {
    context.abort.abort(
      new ResultError(
        "cancelled",
        `Request "${context.requestId}" was cancelled: ${reason}`,
      ),
    );
  }

  #startOrAttach(
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
      onceStages: selectOnceStages(checked, services),
      requestId: this.#options.random.nextHexadecimal(12),
      now: this.#options.timer.now(),
    });
    const earlier = this.#options.keys.find(context);
    if (earlier !== undefined) return this.#answerFromLedger(context, earlier);
    const hasOnceStage = context.onceStages.size > 0;
    this.#options.admission.check(checked, { repeatable: !hasOnceStage });
    const decision = this.#options.keys.begin(context);
    if (decision !== undefined && decision.type !== "run") {
      return this.#answerFromLedger(context, decision);
    }
    const needsClaim = hasOnceStage && decision?.bound === false;
    this.#startRun(context, { hasOnceStage, needsClaim });
    return context;
  }

  #answerFromLedger(
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
      this.#answerFromStored(context, decision.result);
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
      { retryAfterMilliseconds: this.#options.admission.jitteredRetryAfter() },
    );
  }

  #startRun(
    context: RequestContext,
    options: { readonly hasOnceStage: boolean; readonly needsClaim: boolean },
  ): void {
    const { hasOnceStage } = options;
    if (!options.needsClaim) {
      void this.#run(context, { guard: UNRESTRICTED_ONCE_GUARD, hasOnceStage });
      return;
    }
    const claim = new ClaimedOnceGuard({
      claims: this.#options.claims,
      context,
      idempotencyKey: context.request.idempotencyKey ?? "",
      daemon: this.#options.incarnation,
      timer: this.#options.timer,
      createStoreError: () => this.#options.admission.createStoreError(),
      onSettled: (settlement) =>
        void this.#applySettlement(context, settlement),
    });
    void this.#run(context, { guard: claim, claim, hasOnceStage });
  }

  async #run(context: RequestContext, run: RequestRun): Promise<void> {
    const { timer, registry, pipelines, admission } = this.#options;
    const unregister = registry.register(context);
    admission.registerExpectedCalls(context);
    const stopDeadline = timer.registerTimeout(
      () => context.abort.abort(createDeadlineError(context)),
      context.deadlineAt - timer.now(),
    );
    const work = run.guard.ready().then(() =>
      pipelines.run(context, run.guard)
    );
    try {
      const text = await Promise.race([work, rejectWhenAborted(context)]);
      this.#finish(context, createEndRecord(context, timer.now()));
      this.#recordEnd(context, run, text);
    } catch (thrown) {
      this.#fail(context, { run, thrown });
      // A stage that must run at most once continues after the final record;
      // its result is stored for a later look-up.
      const text = await work.catch(() => undefined);
      this.#recordEnd(context, run, text);
    } finally {
      stopDeadline();
      for (const teardown of context.expectedCallTeardowns.values()) teardown();
      unregister();
    }
  }

  #fail(
    context: RequestContext,
    failure: { readonly run: RequestRun; readonly thrown: unknown },
  ): void {
    if (context.log.final !== undefined) return;
    const error = toKelpsparError(failure.thrown);
    if (localOutcome(context) === "not_run") failure.run.claim?.giveUp();
    const reported = RESULTS_OF_OTHER_RUNS.has(error.result)
      ? error
      : withProvenOutcome(error, context);
    this.#finish(context, createFailureRecord(context, reported));
  }

  #finish(context: RequestContext, final: FinalRecord): void {
    if (context.log.final !== undefined) return;
    context.log.finish(final);
    this.#options.onEnd(context, final);
  }

  #recordEnd(
    context: RequestContext,
    run: RequestRun,
    text: string | undefined,
  ): void {
    const { keys, configuration } = this.#options;
    if (text !== undefined) {
      const limit = configuration.current()?.limits.resultKeepBytes ?? 0;
      const result = createStoredResult(context, { text, limit });
      run.claim?.complete(result);
      keys.end(context, { type: "completed", result });
      return;
    }
    run.claim?.giveUp();
    run.claim?.discard();
    const mayRepeat = !run.hasOnceStage || localOutcome(context) === "not_run";
    keys.end(context, { type: mayRepeat ? "repeatable" : "outcome_unknown" });
  }

  /** Answers with the result or state of the operation that holds the key. */
  async #applySettlement(
    context: RequestContext,
    settlement: ClaimSettlement,
  ): Promise<void> {
    const answer = await resolveSettlement(
      settlement,
      this.#options.createHolderQuery(context),
    );
    if ("result" in answer) {
      this.#answerFromStored(context, answer.result);
      context.abort.abort(
        new ResultError("cancelled", "Answered from the store"),
      );
      return;
    }
    context.abort.abort(answer.error);
  }

  #answerFromStored(context: RequestContext, result: StoredResult): void {
    appendStoredResult(context, result);
  }
}

/** Results that describe another run of the same idempotency key. */
const RESULTS_OF_OTHER_RUNS: ReadonlySet<string> = new Set([
  "in_progress",
  "outcome_unknown",
  "result_expired",
  "idempotency_key_reused",
]);

function createDeadlineError(context: RequestContext): KelpsparError {
  return new ResultError(
    "deadline_exceeded",
    `Request "${context.requestId}" did not end within ${context.request.deadlineMilliseconds} ms`,
  );
}

function rejectWhenAborted(context: RequestContext): Promise<never> {
  const { signal } = context.abort;
  return new Promise((_resolve, reject) => {
    if (signal.aborted) return reject(signal.reason);
    signal.addEventListener("abort", () => reject(signal.reason));
  });
}
