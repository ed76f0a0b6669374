import type { PermitRequest } from "../scheduling/permit_request.ts";
import type { AttemptResult } from "./call_attempt.ts";
import type { AttemptPlan } from "./attempt_plan.ts";
import type { StageServices } from "./stage_services.ts";
import type { StageTask } from "./stage_task.ts";
import { callAttempt, settleAttempt } from "./call_attempt.ts";
import { StageProgress } from "./stage_progress.ts";

/** An attempt and its plan. */
export interface PlannedAttempt {
  readonly plan: AttemptPlan;
  readonly attempt: AttemptResult;
}

/** The first attempt, and the permit request for a hedge. */
export interface HedgedCallOptions {
  readonly plan: AttemptPlan;
  readonly permitRequest: PermitRequest;
}

interface PendingHedge {
  /** Resolves to the hedge, or to undefined when none was started. */
  readonly started: Promise<RunningAttempt | undefined>;
  /** The hedge if it has started. */
  readonly current: () => RunningAttempt | undefined;
  readonly stop: () => void;
}

interface RunningAttempt {
  readonly plan: AttemptPlan;
  readonly abort: AbortController;
  readonly done: Promise<PlannedAttempt>;
}

/**
 * Makes a call, and a hedge at another endpoint when the first exceeds the
 * policy's hedge delay. The first complete attempt wins; the other is cancelled
 * at once, locally and at its endpoint.
 */
export class HedgedCall {
  readonly #services: StageServices;
  readonly #task: StageTask;
  readonly #options: HedgedCallOptions;

  constructor(
    services: StageServices,
    task: StageTask,
    options: HedgedCallOptions,
  ) {
    this.#services = services;
    this.#task = task;
    this.#options = options;
  }

  /** Resolves to the winning attempt; its permit is not released yet. */
  async run(): Promise<PlannedAttempt> {
    const { parts, timer } = this.#services;
    const serviceId = this.#task.service.id;
    const startedAt = timer.now();
    parts.hedges.recordCall(serviceId, startedAt);
    const first = this.#start(this.#options.plan);
    const hedge = this.#scheduleHedge(startedAt);
    const winner = await this.#awaitWinner(first, hedge);
    hedge.stop();
    const isFirst = winner.plan === first.plan;
    parts.hedges.recordLatency(serviceId, {
      milliseconds: timer.now() - startedAt,
      now: timer.now(),
    });
    const second = await hedge.started;
    if (second === undefined) return winner;
    this.#cancel(isFirst ? second : first, isFirst);
    return winner;
  }

  #start(plan: AttemptPlan): RunningAttempt {
    const abort = new AbortController();
    const done = callAttempt(this.#services, this.#task, { plan, abort })
      .then((attempt) => ({ plan, attempt }));
    return { plan, abort, done };
  }

  #scheduleHedge(startedAt: number): PendingHedge {
    const { parts, timer } = this.#services;
    const { trace, service } = this.#task;
    const after = trace.once || service.kind === "engine"
      ? undefined
      : parts.hedges.hedgeDelay(service.id, startedAt);
    if (after === undefined) {
      const none = Promise.resolve(undefined);
      return { started: none, current: () => undefined, stop: () => {} };
    }
    let resolveStarted = (_hedge: RunningAttempt | undefined): void => {};
    const started = new Promise<RunningAttempt | undefined>((resolve) => {
      resolveStarted = resolve;
    });
    let isOver = false;
    let runningHedge: RunningAttempt | undefined;
    const stopTimer = timer.registerTimeout(() => {
      void this.#tryHedge(startedAt, () => isOver).then((hedge) => {
        runningHedge = hedge;
        resolveStarted(hedge);
      });
    }, after);
    const stop = (): void => {
      isOver = true;
      stopTimer();
      resolveStarted(undefined);
    };
    return { started, current: () => runningHedge, stop };
  }

  async #tryHedge(
    startedAt: number,
    isOver: () => boolean,
  ): Promise<RunningAttempt | undefined> {
    const { parts, timer, scheduler, observer } = this.#services;
    const { context, service } = this.#task;
    const now = timer.now();
    const request = this.#options.permitRequest;
    const exclude = new Set([
      ...request.exclude,
      this.#options.plan.permit.endpoint.endpointId,
    ]);
    const load = scheduler.loadOf({ ...request, exclude });
    const decision = parts.hedges.tryHedge({
      serviceId: service.id,
      effect: "none",
      isStreaming: false,
      elapsedMilliseconds: now - startedAt,
      remainingMilliseconds: context.deadlineAt - now,
      utilization: load.utilization,
      waiting: load.waiting,
      otherEndpoints: load.otherEndpoints,
    }, now);
    if (!decision.hedge) return undefined;
    try {
      const permit = await scheduler.acquire({ ...request, exclude });
      if (isOver()) {
        permit.release({ outcome: "cancelled", latencyMilliseconds: 0 });
        return undefined;
      }
      observer.onHedge(this.#task);
      return this.#start({
        permit,
        progress: new StageProgress(),
        signal: this.#options.plan.signal,
      });
    } catch {
      // Without a permit the hedge is skipped.
      return undefined;
    }
  }

  /** Resolves to the first complete attempt, else the first call's failure. */
  async #awaitWinner(
    first: RunningAttempt,
    hedge: PendingHedge,
  ): Promise<PlannedAttempt> {
    const requireComplete = (planned: PlannedAttempt): PlannedAttempt => {
      if (planned.attempt.end === undefined) throw planned;
      return planned;
    };
    const second = hedge.started.then((attempt) => {
      if (attempt === undefined) throw undefined;
      return attempt.done.then(requireComplete);
    });
    second.catch(() => {});
    const firstComplete = first.done.then(requireComplete);
    const firstFailure = first.done.then((planned) => {
      // A first call that fails before a hedge has started doesn't wait for
      // one; a hedge already in flight may still complete.
      const isAlone = hedge.current() === undefined;
      if (planned.attempt.end === undefined && isAlone) return planned;
      throw undefined;
    });
    try {
      return await Promise.any([firstComplete, second, firstFailure]);
    } catch {
      return await first.done;
    }
  }

  #cancel(loser: RunningAttempt, isFirstWinner: boolean): void {
    loser.abort.abort(new Error("another attempt was faster"));
    void loser.done.then(({ plan, attempt }) => {
      settleAttempt(this.#services, this.#task, {
        plan,
        attempt,
        isCancelled: attempt.end === undefined,
      });
      this.#services.parts.hedges.recordWinner(this.#task.service.id, {
        winner: isFirstWinner ? "first" : "hedge",
        lostRunnerMilliseconds: attempt.milliseconds,
      });
    });
  }
}
