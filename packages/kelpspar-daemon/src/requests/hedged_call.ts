import type { PermitRequest } from "../scheduling/permit_request.ts";
import type { AttemptEnd } from "./call_attempt.ts";
import type { AttemptPlan } from "./attempt_plan.ts";
import type { StageServices } from "./stage_services.ts";
import type { StageTask } from "./stage_task.ts";
import { callAttempt, settleAttempt } from "./call_attempt.ts";
import { StageProgress } from "./stage_progress.ts";

/** An attempt and the plan it was made by. */
export interface PlannedAttempt {
  readonly plan: AttemptPlan;
  readonly attempt: AttemptEnd;
}

/** The first attempt, and what a second one would be permitted by. */
export interface HedgedCallOptions {
  readonly plan: AttemptPlan;
  readonly permitRequest: PermitRequest;
}

interface HedgeStart {
  /** The hedge once it began; undefined when the race ended without one. */
  readonly started: Promise<Racer | undefined>;
  /** The hedge if it has begun by now. */
  readonly current: () => Racer | undefined;
  readonly stop: () => void;
}

interface Racer {
  readonly plan: AttemptPlan;
  readonly abort: AbortController;
  readonly done: Promise<PlannedAttempt>;
}

/**
 * Makes a call, and a second one elsewhere when the first is later than the
 * policy says. The first to be whole wins; the other is cancelled, at once and
 * at its endpoint.
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

  /** Resolves to the attempt that counts; its permit is not yet released. */
  async run(): Promise<PlannedAttempt> {
    const { parts, timer } = this.#services;
    const serviceId = this.#task.service.id;
    const startedAt = timer.now();
    parts.hedges.recordCall(serviceId, startedAt);
    const first = this.#start(this.#options.plan);
    const hedge = this.#startHedgeWhenLate(startedAt);
    const winner = await this.#race(first, hedge);
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

  #start(plan: AttemptPlan): Racer {
    const abort = new AbortController();
    const done = callAttempt(this.#services, this.#task, { plan, abort })
      .then((attempt) => ({ plan, attempt }));
    return { plan, abort, done };
  }

  #startHedgeWhenLate(startedAt: number): HedgeStart {
    const { parts, timer } = this.#services;
    const { trace, service } = this.#task;
    const after = trace.once || service.kind === "engine"
      ? undefined
      : parts.hedges.hedgeDelay(service.id, startedAt);
    if (after === undefined) {
      const none = Promise.resolve(undefined);
      return { started: none, current: () => undefined, stop: () => {} };
    }
    let resolveStarted = (_racer: Racer | undefined): void => {};
    const started = new Promise<Racer | undefined>((resolve) => {
      resolveStarted = resolve;
    });
    let isOver = false;
    let racer: Racer | undefined;
    const stopTimer = timer.registerTimeout(() => {
      void this.#tryHedge(startedAt, () => isOver).then((begun) => {
        racer = begun;
        resolveStarted(begun);
      });
    }, after);
    const stop = (): void => {
      isOver = true;
      stopTimer();
      resolveStarted(undefined);
    };
    return { started, current: () => racer, stop };
  }

  async #tryHedge(
    startedAt: number,
    isOver: () => boolean,
  ): Promise<Racer | undefined> {
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
      // A hedge that finds no place is simply not made.
      return undefined;
    }
  }

  /** The first whole attempt; when none is, the first one's failure. */
  async #race(first: Racer, hedge: HedgeStart): Promise<PlannedAttempt> {
    const whole = (planned: PlannedAttempt): PlannedAttempt => {
      if (planned.attempt.end === undefined) throw planned;
      return planned;
    };
    const second = hedge.started.then((racer) => {
      if (racer === undefined) throw undefined;
      return racer.done.then(whole);
    });
    second.catch(() => {});
    const firstWhole = first.done.then(whole);
    const firstFailure = first.done.then((planned) => {
      // A first call that fails before its hedge began waits for none; once
      // the hedge is under way, that may still be whole.
      const isAlone = hedge.current() === undefined;
      if (planned.attempt.end === undefined && isAlone) return planned;
      throw undefined;
    });
    try {
      return await Promise.any([firstWhole, second, firstFailure]);
    } catch {
      return await first.done;
    }
  }

  #cancel(loser: Racer, isFirstWinner: boolean): void {
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
