import type { Admission } from "kelpspar-decisions/admission";
import type { KelpsparError, RandomSource } from "kelpspar-shared";
import type { Scheduler } from "../scheduling/scheduler.ts";
import type { CheckedRequest } from "./check_request.ts";
import type { RequestContext } from "./request_context.ts";
import type { RequestRegistry } from "./request_registry.ts";
import type { TimerService } from "kelpspar-shared";
import { retryDelayMilliseconds } from "kelpspar-decisions/retries";
import { KelpsparError as ResultError } from "kelpspar-shared";

const RETRY_AFTER_MILLISECONDS = 500;

/** Options of `RequestAdmission`. */
export interface RequestAdmissionOptions {
  readonly admission: Admission;
  readonly scheduler: Scheduler;
  readonly registry: RequestRegistry;
  readonly maximumRequests: number;
  readonly isLeaving: () => boolean;
  /** Why the known configuration admits no requests; undefined if it does. */
  readonly configurationRefusal: () => KelpsparError | undefined;
  readonly timer: TimerService;
  readonly random: RandomSource;
}

/**
 * Admission control for new requests. Refuses at once when the daemon is
 * leaving, runs its maximum of requests, or cannot meet the deadline.
 */
export class RequestAdmission {
  readonly #options: RequestAdmissionOptions;
  #lastArrivalAt = Number.NEGATIVE_INFINITY;

  constructor(options: RequestAdmissionOptions) {
    this.#options = options;
  }

  /** When the last request arrived, admitted or not, monotonic milliseconds. */
  get lastArrivalAt(): number {
    return this.#lastArrivalAt;
  }

  recordArrival(): void {
    this.#lastArrivalAt = this.#options.timer.now();
  }

  /** Throws `draining`, `overloaded` or `cannot_finish_in_time`. */
  check(
    checked: CheckedRequest,
    options: { readonly repeatable: boolean },
  ): void {
    const { isLeaving, registry, maximumRequests } = this.#options;
    if (isLeaving()) {
      throw new ResultError("draining", "The daemon is stopping");
    }
    const refusal = this.#options.configurationRefusal();
    if (refusal !== undefined) throw refusal;
    if (registry.running >= maximumRequests) {
      throw new ResultError(
        "overloaded",
        `The daemon runs ${maximumRequests} requests, as many as it may`,
        { retryAfterMilliseconds: this.jitteredRetryAfter() },
      );
    }
    this.#admit(checked, options.repeatable);
  }

  /** Registers the calls that an admitted request is expected to make. */
  registerExpectedCalls(context: RequestContext): void {
    for (const stage of context.pipeline.stages) {
      const teardown = this.#options.scheduler.expect({
        service: stage.service,
        accountId: context.account.id,
        pipelineId: context.pipeline.id,
        stageId: stage.id,
      });
      context.expectedCallTeardowns.set(stage.id, teardown);
    }
  }

  /** Retry delay for a refused caller, jittered, milliseconds. */
  jitteredRetryAfter(): number {
    return retryDelayMilliseconds(RETRY_AFTER_MILLISECONDS, this.#options);
  }

  /** Creates the error of a request whose claim cannot be stored. */
  createStoreError(): KelpsparError {
    return new ResultError(
      "store_unavailable",
      "The claim that makes the request run once cannot be stored now",
      { retryAfterMilliseconds: this.jitteredRetryAfter() },
    );
  }

  #admit(checked: CheckedRequest, repeatable: boolean): void {
    const { admission, scheduler, timer } = this.#options;
    const { account, pipeline, request, priority } = checked;
    const decision = admission.decide({
      pipelineId: pipeline.id,
      remainingMilliseconds: request.deadlineMilliseconds,
      stages: pipeline.stages.map((stage) => ({
        stageId: stage.id,
        waitMilliseconds: scheduler.estimateWait(stage.service, {
          accountId: account.id,
          priority,
        }),
      })),
      point: "arrival",
      repeatable,
    }, timer.now());
    if (decision.run) return;
    throw new ResultError(
      decision.reason,
      `Request through pipeline "${pipeline.id}" would not end within ${request.deadlineMilliseconds} ms`,
      { retryAfterMilliseconds: decision.retryAfterMilliseconds },
    );
  }
}
