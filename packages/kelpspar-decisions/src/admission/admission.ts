import type { RandomSource } from "kelpspar-shared";
import type { AdmissionDecision } from "./admission_decision.ts";
import type { AdmissionRequest } from "./admission_request.ts";
import type { ProbeGateOptions } from "./probe_gate.ts";
import type { StageTimeEstimator } from "./stage_time_estimator.ts";
import { retryDelayMilliseconds } from "../retries/retry_delay.ts";
import { ProbeGate } from "./probe_gate.ts";

/**
 * Safety factor on estimated waits. They are derived from mean costs, and long
 * waits are off by a few percent; without a margin one answer in ten is
 * slightly late.
 */
const WAIT_MARGIN = 1.1;

/** Options of `Admission`. */
export interface AdmissionOptions {
  readonly estimator: StageTimeEstimator;
  /** Jitters the retry delay returned to refused callers. */
  readonly random: RandomSource;
  readonly probes?: ProbeGateOptions;
}

/**
 * Admission control: refuses requests early that would miss their deadline, so
 * that under overload endpoints work only on answers that arrive in time.
 *
 * With no wait ahead, a request is refused only if even the fastest recent run
 * would be too slow, because running it takes no slot from other requests. With
 * a wait ahead, each slot given to one request is denied to another, so a
 * request must be likely to finish in time, even if some of its stages have
 * already run. Accepting an even chance there would keep the queue filled with
 * requests half of which finish too late.
 */
export class Admission {
  readonly #estimator: StageTimeEstimator;
  readonly #random: RandomSource;
  readonly #probeOptions: ProbeGateOptions;
  readonly #probeGates = new Map<string, ProbeGate>();

  constructor(options: AdmissionOptions) {
    this.#estimator = options.estimator;
    this.#random = options.random;
    this.#probeOptions = options.probes ?? {};
  }

  decide(request: AdmissionRequest, now: number): AdmissionDecision {
    const remaining = request.remainingMilliseconds;
    const times = this.#estimator.remainingTimes(
      request.pipelineId,
      request.stages.map((stage) => stage.stageId),
      now,
    );
    const wait = WAIT_MARGIN * request.stages.reduce(
      (sum, stage) => sum + stage.waitMilliseconds,
      0,
    );
    const work = wait > 0 ? times.estimatedP95 : times.minimum;
    const isProbe = request.isProbe ?? false;
    if (remaining > 0 && remaining >= wait + work) {
      if (request.point === "arrival") this.#probeGateOf(request).recordRun();
      return { run: true, isProbe };
    }
    const startsInTime = remaining > wait;
    if (startsInTime && (isProbe || this.#mayProbe(request, now))) {
      return { run: true, isProbe: true };
    }
    return {
      run: false,
      reason: remaining > 0 && remaining >= work
        ? "overloaded"
        : "cannot_finish_in_time",
      // A shorter delay would bring refused callers back before the current
      // queue has drained.
      retryAfterMilliseconds: retryDelayMilliseconds(
        Math.max(wait, wait + work - remaining),
        { random: this.#random },
      ),
    };
  }

  /**
   * Only a repeatable request can be a probe, and only on arrival: a request
   * that may run only once must not be spent on testing an estimate.
   */
  #mayProbe(request: AdmissionRequest, now: number): boolean {
    if (!request.repeatable || request.point !== "arrival") return false;
    return this.#probeGateOf(request).tryProbe(now);
  }

  #probeGateOf(request: AdmissionRequest): ProbeGate {
    const known = this.#probeGates.get(request.pipelineId);
    if (known !== undefined) return known;
    const gate = new ProbeGate(this.#probeOptions);
    this.#probeGates.set(request.pipelineId, gate);
    return gate;
  }
}
