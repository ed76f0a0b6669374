const GAPS_BEFORE_SUSPICION = 4;
const SHORTEST_SUSPICION_MILLISECONDS = 250;

/** What a stage does to the world, as in the configuration. */
export type StageEffect = "none" | "once";

/** The call whose progress is watched. */
export interface ConnectionWatchOptions {
  readonly effect: StageEffect;
  /** True for engines, which keep an attempt alive and stream it again. */
  readonly isResumable: boolean;
  /** The service's progress timeout, milliseconds. */
  readonly progressTimeoutMilliseconds: number;
  /** When the call was sent, monotonic milliseconds. */
  readonly startedAt: number;
}

/** The answer, or none, of an endpoint's load address on a new connection. */
export interface SilenceProbe {
  readonly answered: boolean;
  /** True when the answer shows calls waiting there. */
  readonly isQueueing: boolean;
  /** When the call became suspect, monotonic milliseconds. */
  readonly suspectedAt: number;
}

/** What the daemon does about a call that went silent. */
export interface SilenceVerdict {
  /** The connection is never used again, whatever the probe said. */
  readonly connection: "destroy";
  readonly endpoint: "keep" | "eject";
  /**
   * `resume_here`: stream the same attempt from the offset, over a new
   * connection; an endpoint that does not know it has not run it again.
   * `resend_elsewhere`: send it to another endpoint, with the text
   * so far if there is any. `give_up`: its outcome is unknown, say so at once.
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
    resumable: verdict("keep", "resume_here"),
    none: verdict("keep", "resend_elsewhere"),
    once: verdict("keep", "give_up"),
  },
  failed: {
    resumable: verdict("eject", "resend_elsewhere"),
    none: verdict("eject", "resend_elsewhere"),
    once: verdict("eject", "give_up"),
  },
};

/**
 * Watches whether a call makes progress. What goes wrong: something between the
 * two ends forgets a connection; nothing more arrives and nothing fails, while
 * new connections work. It shows as calls that hang until their deadline. So a
 * call that is silent for too long makes the daemon probe the endpoint over a
 * new connection: an answer proves that the old one is what is silent, no
 * answer that the endpoint is gone.
 *
 * Source: the brief, "What fails".
 */
export class ConnectionWatch {
  readonly #options: ConnectionWatchOptions;
  #progressAt: number;
  #hasRecords = false;
  #isExtended = false;

  constructor(options: ConnectionWatchOptions) {
    this.#options = options;
    this.#progressAt = options.startedAt;
  }

  /** Notes that a record arrived. */
  progressed(now: number): void {
    this.#progressAt = now;
    this.#hasRecords = true;
  }

  /**
   * When the call becomes suspect if nothing arrives, monotonic milliseconds.
   * With `gapMilliseconds`, the p99 between two records of the service, a
   * stream that runs is suspect sooner than the configured timeout. Not so
   * before the first record, when the endpoint may just be queueing, nor for a
   * call that may not be repeated, which a mistaken suspicion gives up.
   */
  suspectAt(gapMilliseconds?: number): number {
    const { effect, progressTimeoutMilliseconds } = this.#options;
    const isEarly = this.#hasRecords && effect === "none" &&
      gapMilliseconds !== undefined;
    if (!isEarly) return this.#progressAt + progressTimeoutMilliseconds;
    const timeout = Math.max(
      SHORTEST_SUSPICION_MILLISECONDS,
      GAPS_BEFORE_SUSPICION * gapMilliseconds,
    );
    return this.#progressAt + Math.min(timeout, progressTimeoutMilliseconds);
  }

  /**
   * What to do after the probe; undefined when the call may go on, since a
   * record arrived meanwhile or the call may just be queueing.
   *
   * What goes wrong without the second: an overloaded service answers nothing
   * for a while, every waiting call is sent again elsewhere, and the load
   * doubles. So a queue earns a call one more timeout, but only one.
   */
  judge(probe: SilenceProbe): SilenceVerdict | undefined {
    if (this.#progressAt >= probe.suspectedAt) return undefined;
    if (probe.isQueueing && !this.#hasRecords && !this.#isExtended) {
      this.#isExtended = true;
      this.#progressAt = probe.suspectedAt;
      return undefined;
    }
    const { effect, isResumable } = this.#options;
    const verdicts = VERDICTS[probe.answered ? "answered" : "failed"];
    const isStopped = effect === "once" && !probe.answered;
    return isResumable && !isStopped ? verdicts.resumable : verdicts[effect];
  }
}

function verdict(
  endpoint: SilenceVerdict["endpoint"],
  call: SilenceVerdict["call"],
): SilenceVerdict {
  return { connection: "destroy", endpoint, call };
}
