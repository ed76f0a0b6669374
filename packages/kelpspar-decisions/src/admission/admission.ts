import type { RandomSource } from "kelpspar-shared";
import type { AdmissionDecision } from "./admission_decision.ts";
import type { AdmissionRequest } from "./admission_request.ts";
import type { ProbeGateOptions } from "./probe_gate.ts";
import type { StageTimeEstimator } from "./stage_time_estimator.ts";
import { retryDelayMilliseconds } from "../retries/retry_delay.ts";
import { ProbeGate } from "./probe_gate.ts";

/**
 * Waits are estimated from mean costs, and long ones are off by some
 * hundredths; without a margin one answer in ten is then a little late.
 */
const WAIT_MARGIN = 1.1;

/** What admission decides by. */
export interface AdmissionOptions {
  readonly estimator: StageTimeEstimator;
  /** Jitters the waits that refused callers are told. */
  readonly random: RandomSource;
  readonly probes?: ProbeGateOptions;
}

/**
 * Refuses early what would miss its deadline, so that under overload the
 * endpoints work on answers that arrive in time.
 *
 * With no wait ahead only a request that is past hope is refused, since
 * running it takes nothing from others. With a wait ahead, a slot given to one
 * request is denied to another: then it must be likely to finish in time, also
 * when stages of it have run. With an even chance taken as enough there, the
 * queue stays filled with requests of which half come too late.
 */
export class Admission {
  readonly #estimator: StageTimeEstimator;
  readonly #random: RandomSource;
  readonly #probeOptions: ProbeGateOptions;
  readonly #gates = new Map<string, ProbeGate>();

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
    const work = wait > 0 ? times.likely : times.minimum;
    const isProbe = request.isProbe ?? false;
    if (remaining > 0 && remaining >= wait + work) {
      if (request.point === "arrival") this.#gate(request).recordRun();
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
      // Not before what waits now is done, or those refused come back at once.
      retryAfterMilliseconds: retryDelayMilliseconds(
        Math.max(wait, wait + work - remaining),
        { random: this.#random },
      ),
    };
  }

  /**
   * Only a repeatable request is a probe, and only at its arrival: what may
   * run just once must not be spent on trying out an estimate.
   */
  #mayProbe(request: AdmissionRequest, now: number): boolean {
    if (!request.repeatable || request.point !== "arrival") return false;
    return this.#gate(request).tryPass(now);
  }

  #gate(request: AdmissionRequest): ProbeGate {
    const known = this.#gates.get(request.pipelineId);
    if (known !== undefined) return known;
    const gate = new ProbeGate(this.#probeOptions);
    this.#gates.set(request.pipelineId, gate);
    return gate;
  }
}
