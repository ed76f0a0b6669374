import type { Admission } from "kelpspar-decisions/admission";
import type { KelpsparError, RandomSource } from "kelpspar-shared";
import type { Scheduler } from "../scheduling/scheduler.ts";
import type { CheckedRequest } from "./check_request.ts";
import type { RequestContext } from "./request_context.ts";
import type { RequestRegistry } from "./request_registry.ts";
import type { TimerService } from "kelpspar-shared";
import { retryDelayMilliseconds } from "kelpspar-decisions/retries";
import { KelpsparError as ResultError } from "kelpspar-shared";

const COMEBACK_MILLISECONDS = 500;

/** What arriving requests are checked against. */
export interface ArrivalCheckOptions {
  readonly admission: Admission;
  readonly scheduler: Scheduler;
  readonly registry: RequestRegistry;
  readonly maximumRequests: number;
  readonly isLeaving: () => boolean;
  /** Why no request is taken by the configuration known here. */
  readonly configurationRefusal: () => KelpsparError | undefined;
  readonly timer: TimerService;
  readonly random: RandomSource;
}

/**
 * Refuses, at once, what cannot be served: on a daemon that is leaving, over
 * its limit of requests, or when the deadline cannot be met.
 */
export class ArrivalCheck {
  readonly #options: ArrivalCheckOptions;
  #lastArrivalAt = Number.NEGATIVE_INFINITY;

  constructor(options: ArrivalCheckOptions) {
    this.#options = options;
  }

  /** When the last request arrived, taken or not, monotonic milliseconds. */
  get lastArrivalAt(): number {
    return this.#lastArrivalAt;
  }

  /** Notes that a request arrived. */
  noteArrival(): void {
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
        { retryAfterMilliseconds: this.comeback() },
      );
    }
    this.#admit(checked, options.repeatable);
  }

  /** Counts the calls that an admitted request is going to make. */
  expectCalls(context: RequestContext): void {
    for (const stage of context.pipeline.stages) {
      const takeBack = this.#options.scheduler.expect({
        service: stage.service,
        accountId: context.account.id,
        pipelineId: context.pipeline.id,
        stageId: stage.id,
      });
      context.expected.set(stage.id, takeBack);
    }
  }

  /** When a refused caller may come back, jittered, milliseconds. */
  comeback(): number {
    return retryDelayMilliseconds(COMEBACK_MILLISECONDS, this.#options);
  }

  /** The refusal of a request whose claim cannot be stored. */
  storeError(): KelpsparError {
    return new ResultError(
      "store_unavailable",
      "The claim that makes the request run once cannot be stored now",
      { retryAfterMilliseconds: this.comeback() },
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
