import type { RequestRun } from "./request_run.ts";
import type { SendResult } from "./send_result.ts";
import { describeIncarnation } from "../quarantine/describe_incarnation.ts";
import { describeSoftware } from "../streams/software_of.ts";

/** When the events of an answer arrived, monotonic milliseconds. */
export interface EventTimes {
  /** Undefined if there was none. */
  readonly firstEventAt?: number | undefined;
  /** Undefined if there was none, or for a body that isn't a stream. */
  readonly lastEventAt?: number | undefined;
}

/** The send of an answer that may have been truncated. */
export type SentTo =
  & Pick<SendResult, "endpoint" | "sentAt">
  & Partial<Pick<SendResult, "answeredAt">>;

/** How far a sound answer has got. */
export interface SoundAnswerProgress {
  /** When its first event arrived, or a body that isn't a stream began. */
  readonly beganAt: number | undefined;
  /** For how long it has written events; undefined once it ended whole. */
  readonly wroteMilliseconds?: number;
  /** False if the same answer was recorded before; default true. */
  readonly isNew?: boolean;
}

/** Tells the quarantine what the answers to one request show. */
export class AnswerEvidence {
  readonly #run: RequestRun;

  constructor(run: RequestRun) {
    this.#run = run;
  }

  /** Records that the endpoint answers on the parts of the prompt. */
  recordSound(
    { endpoint }: SendResult,
    { beganAt, wroteMilliseconds, isNew = true }: SoundAnswerProgress,
  ): void {
    const { parts, options, fingerprint } = this.#run;
    if (beganAt === undefined) return;
    options.dependencies.quarantine.answered({
      parts,
      software: describeSoftware(endpoint.entry),
      beganAt,
      wroteMilliseconds,
      id: { fingerprint, crash: describeIncarnation(endpoint.entry) },
    }, { attemptId: options.request.attemptId, isNew });
  }

  /**
   * Reports a crash if the endpoint of a truncated answer crashed. Waits for that
   * only if the request may be sent again and shares a part with others, which
   * may have crashed the endpoint and would reach the next one.
   */
  async reportTruncated(
    { endpoint, sentAt, answeredAt }: SentTo,
    { firstEventAt, lastEventAt }: EventTimes = {},
  ): Promise<void> {
    const run = this.#run;
    const { fingerprint, options } = run;
    const { crashes, quarantine } = options.dependencies;
    const check = crashes.checkEndpoint({
      attemptId: options.request.attemptId,
      fingerprint,
      promptParts: options.request.promptParts,
      endpoint: endpoint.entry,
      sentAt,
      answeredAt,
      firstEventAt,
      lastEventAt,
      hasRestarted: endpoint.ended.aborted,
      ended: endpoint.ended,
    });
    const mayBeBlamed = run.parts.length > 0 ||
      quarantine.mayBecomeSuspect(run);
    if (mayBeBlamed && run.hasAttemptsLeft) await check;
  }
}
