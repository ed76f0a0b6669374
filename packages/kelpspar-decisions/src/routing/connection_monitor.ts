const SUSPICION_GAP_FACTOR = 4;
const MINIMUM_SUSPICION_MILLISECONDS = 250;

/** External side effects of a stage, as in the configuration. */
export type StageEffect = "none" | "once";

/** The call whose progress is monitored. */
export interface ConnectionMonitorOptions {
  readonly effect: StageEffect;
  /** True for engines, which keep an attempt alive and can stream it again. */
  readonly isResumable: boolean;
  /** The service's progress timeout, milliseconds. */
  readonly progressTimeoutMilliseconds: number;
  /** When the call was sent, monotonic milliseconds. */
  readonly startedAt: number;
}

/** Result of probing an endpoint's load address over a new connection. */
export interface SilenceProbe {
  readonly answered: boolean;
  /** True when the answer shows queued calls. */
  readonly isQueueing: boolean;
  /** When the call became suspect, monotonic milliseconds. */
  readonly suspectedAt: number;
}

/** How the daemon handles a silent call. */
export interface SilenceVerdict {
  /** The connection is never reused, whatever the probe's result. */
  readonly connection: "destroy";
  readonly endpoint: "keep" | "eject";
  /**
   * `resume_here`: stream the same attempt from the offset, over a new
   * connection; an endpoint that doesn't know the attempt doesn't run it again.
   * `resend_elsewhere`: send it to another endpoint, with the partial text if
   * there is any. `give_up`: fail at once with an unknown outcome.
   */
  readonly call: "resume_here" | "resend_elsewhere" | "give_up";
}

const VERDICTS: Readonly<
  Record<
    "answered" | "failed",
    Readonly<Record<"resumable" | StageEffect, SilenceVerdict>>
  >
> = {
  answered: {
    resumable: createVerdict("keep", "resume_here"),
    none: createVerdict("keep", "resend_elsewhere"),
    once: createVerdict("keep", "give_up"),
  },
  failed: {
    resumable: createVerdict("eject", "resend_elsewhere"),
    none: createVerdict("eject", "resend_elsewhere"),
    once: createVerdict("eject", "give_up"),
  },
};

/**
 * Monitors the progress of a call. When a network device between the two ends
 * drops a connection's state, nothing arrives and nothing fails, while new
 * connections work; the symptom is calls that hang until their deadline. When a
 * call is silent for too long, the daemon therefore probes the endpoint over a
 * new connection: an answer proves that the old connection is dead, and no
 * answer that the endpoint is gone.
 *
 * Source: the brief, "What fails".
 */
export class ConnectionMonitor {
  readonly #options: ConnectionMonitorOptions;
  #progressAt: number;
  #hasRecords = false;
  #isExtended = false;

  constructor(options: ConnectionMonitorOptions) {
    this.#options = options;
    this.#progressAt = options.startedAt;
  }

  /** Records the arrival of a record. */
  progressed(now: number): void {
    this.#progressAt = now;
    this.#hasRecords = true;
  }

  /**
   * Time at which the call becomes suspect if nothing arrives, monotonic
   * milliseconds. With `gapMilliseconds`, the p99 gap between two records of
   * the service, a running stream becomes suspect before the configured
   * timeout. This excludes calls before the first record, which may be queued
   * at the endpoint, and non-repeatable calls, which a false suspicion would
   * fail.
   */
  suspectAt(gapMilliseconds?: number): number {
    const { effect, progressTimeoutMilliseconds } = this.#options;
    const isEarly = this.#hasRecords && effect === "none" &&
      gapMilliseconds !== undefined;
    if (!isEarly) return this.#progressAt + progressTimeoutMilliseconds;
    const timeout = Math.max(
      MINIMUM_SUSPICION_MILLISECONDS,
      SUSPICION_GAP_FACTOR * gapMilliseconds,
    );
    return this.#progressAt + Math.min(timeout, progressTimeoutMilliseconds);
  }

  /**
   * Decides what to do after the probe; undefined if the call may continue,
   * because a record arrived in the meantime or the call may be queued.
   *
   * Without the second exception, an overloaded service that answers nothing
   * for a while would have every queued call resent elsewhere, which doubles
   * the load. A reported queue therefore extends a call's timeout, but only
   * once.
   */
  evaluateProbe(probe: SilenceProbe): SilenceVerdict | undefined {
    if (this.#progressAt >= probe.suspectedAt) return undefined;
    if (probe.isQueueing && !this.#hasRecords && !this.#isExtended) {
      this.#isExtended = true;
      this.#progressAt = probe.suspectedAt;
      return undefined;
    }
    const { effect, isResumable } = this.#options;
    const verdicts = VERDICTS[probe.answered ? "answered" : "failed"];
    const mustNotResume = effect === "once" && !probe.answered;
    return isResumable && !mustNotResume
      ? verdicts.resumable
      : verdicts[effect];
  }
}

function createVerdict(
  endpoint: SilenceVerdict["endpoint"],
  call: SilenceVerdict["call"],
): SilenceVerdict {
  return { connection: "destroy", endpoint, call };
}
