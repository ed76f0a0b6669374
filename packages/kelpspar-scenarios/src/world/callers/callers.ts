import type { AccountConfiguration } from "kelpspar-configuration";
import type { FailureRecord, SubmitRequest } from "kelpspar-shared";
import type { WorldDaemon } from "../daemon/world_daemon.ts";
import type { CallerDirectoryOptions } from "./caller_directory.ts";
import type { Attempt, AttemptEnding } from "./attempt.ts";
import type { LoadKind } from "./load_kind.ts";
import type { RetryPlan } from "./retry_plan.ts";
import type { Submission } from "./submission.ts";
import {
  submitRequestSchema,
  toFailureRecord,
  toKelpsparError,
} from "kelpspar-shared";
import { sendToDaemon } from "./send_to_daemon.ts";
import { CallerDirectory } from "./caller_directory.ts";
import { createKey } from "./create_key.ts";
import { followAnswer } from "./follow_answer.ts";
import { mayHaveBeenAccepted } from "./may_have_been_accepted.ts";
import { toEndRecord } from "./to_end_record.ts";

const ZONES: readonly string[] = ["zone-a", "zone-b", "zone-c"];
const DEFAULT_RETRY_DELAY_MILLISECONDS = 100;

/** Parameters of `Callers`. */
export interface CallersOptions extends CallerDirectoryOptions {
  /** Runs an action after a delay in milliseconds. */
  readonly schedule: (
    milliseconds: number,
    action: () => void | Promise<void>,
  ) => void;
  readonly accounts: readonly AccountConfiguration[];
  readonly dropsResubmission: boolean;
}

/** Parameters of a submission. */
export interface SubmissionOptions {
  readonly kind: LoadKind;
  readonly accountId: string;
  readonly deadlineMilliseconds: number;
  readonly retries: RetryPlan;
  /** The daemon of the first attempt; default: chosen by the directory. */
  readonly daemon?: WorldDaemon;
}

/** The daemon of the next or previous attempt, and the kind of attempt. */
interface NextAttempt {
  readonly daemon: WorldDaemon;
  readonly isLookUp?: boolean;
}

/** Simulates callers and records their submissions. */
export class Callers {
  readonly submissions: Submission[] = [];
  readonly #options: CallersOptions;

  readonly #directory: CallerDirectory;

  constructor(options: CallersOptions) {
    this.#options = options;
    this.#directory = new CallerDirectory(options);
  }

  /** Sends a request immediately. */
  submit(options: SubmissionOptions): Submission {
    const number = this.submissions.length + 1;
    const zone = ZONES[number % ZONES.length] ?? "";
    const daemon = options.daemon ?? this.#directory.chooseDaemon(zone);
    const token = `T${number}`;
    const key = createKey(options.kind, { token, daemon });
    const submission: Submission = {
      token,
      accountId: options.accountId,
      zone,
      kind: options.kind,
      retries: options.retries,
      sentAt: this.#options.timer.now(),
      attempts: [],
      request: submitRequestSchema.parse({
        pipeline: options.kind.pipeline,
        input: `quarter section ${number} token=${token}`,
        deadlineMilliseconds: options.deadlineMilliseconds,
        nonIdempotent: options.kind.nonIdempotent,
        ...(key === undefined ? {} : { idempotencyKey: key }),
      }),
    };
    this.submissions.push(submission);
    this.#startAttempt(submission, { daemon });
    if (options.retries.sendsTwoAtOnce) this.#retry(submission, { daemon });
    return submission;
  }

  #startAttempt(submission: Submission, next: NextAttempt): void {
    const { daemon, isLookUp = false } = next;
    const { timer } = this.#options;
    const isFirst = submission.attempts.length === 0;
    const isResubmission = !isFirst && mayHaveBeenAccepted(submission);
    const attempt: Attempt = {
      daemon,
      sentAt: timer.now(),
      isResubmission,
      isLookUp,
      text: "",
      faults: [],
    };
    submission.attempts.push(attempt);
    this.#startAnswerTimeout(submission, attempt);
    void this.#send(submission, attempt);
  }

  async #send(submission: Submission, attempt: Attempt): Promise<void> {
    const { daemon } = attempt;
    if (!daemon.isAlive) {
      return this.#endAttempt(submission, {
        attempt,
        ending: { type: "broken" },
      });
    }
    const unregisterDeathListener = daemon.process.registerDeathListener(() =>
      this.#endAttempt(submission, { attempt, ending: { type: "broken" } })
    );
    await daemon.process.whenRunning();
    const ended = (ending: AttemptEnding): void => {
      unregisterDeathListener();
      this.#endAttempt(submission, { attempt, ending });
    };
    try {
      const found = await sendToDaemon(daemon, {
        account: this.#accountOf(submission, daemon),
        request: this.#requestOf(submission, attempt.isResubmission),
        isLookUp: attempt.isLookUp,
      });
      if ("result" in found) {
        attempt.text = found.result.text;
        ended({ type: "answered", record: toEndRecord(found.result) });
        return;
      }
      const { context } = found;
      attempt.context = context;
      const stopReading = followAnswer(
        attempt,
        (record) => ended({ type: "answered", record }),
      );
      attempt.disconnect = () => {
        stopReading();
        void daemon.process.whenRunning().then(() =>
          daemon.core.requests.onReaderDisconnected(context)
        );
      };
      if (attempt.ending?.type === "left") attempt.disconnect();
    } catch (thrown) {
      const record = toFailureRecord(toKelpsparError(thrown), {
        elsewhere: daemon.core.fleet.elsewhere(),
      });
      ended({ type: "refused", record });
    }
  }

  /**
   * Falls back to the initial accounts, so that a daemon without a
   * configuration gets the request and refuses it.
   */
  #accountOf(
    submission: Submission,
    daemon: WorldDaemon,
  ): AccountConfiguration {
    const { accountId } = submission;
    const account = daemon.core.configuration.accounts().get(accountId) ??
      this.#options.accounts.find(({ id }) => id === accountId);
    if (account === undefined) throw new Error(`No account "${accountId}"`);
    return account;
  }

  #requestOf(
    submission: Submission,
    isResubmission: boolean,
  ): SubmitRequest {
    const { request, sentAt } = submission;
    const remaining = request.deadlineMilliseconds -
      (this.#options.timer.now() - sentAt);
    return {
      ...request,
      deadlineMilliseconds: Math.max(1, Math.floor(remaining)),
      resubmission: isResubmission && !this.#options.dropsResubmission,
    };
  }

  #startAnswerTimeout(submission: Submission, attempt: Attempt): void {
    const { silenceMilliseconds, keepsFirstAttempt } = submission.retries;
    if (silenceMilliseconds === undefined) return;
    this.#options.schedule(silenceMilliseconds, () => {
      if (attempt.ending !== undefined) return;
      if (keepsFirstAttempt) return this.#retry(submission, attempt);
      this.#endAttempt(submission, { attempt, ending: { type: "left" } });
    });
  }

  #endAttempt(
    submission: Submission,
    end: { readonly attempt: Attempt; readonly ending: AttemptEnding },
  ): void {
    const { attempt, ending } = end;
    if (attempt.ending !== undefined) return;
    attempt.ending = ending;
    attempt.endedAt = this.#options.timer.now();
    if (ending.type === "left") attempt.disconnect?.();
    // The cached addresses contain a daemon that did not answer.
    if (ending.type !== "answered") this.#directory.invalidate(submission.zone);
    this.#ENDING_HANDLERS[ending.type](submission, attempt);
  }

  readonly #ENDING_HANDLERS: Readonly<
    Record<
      AttemptEnding["type"],
      (submission: Submission, attempt: Attempt) => void
    >
  > = {
    answered: (submission, { daemon, ending }) => {
      if (ending?.type !== "answered") return;
      if (ending.record.type === "end") {
        return this.#onAnswered(submission, daemon);
      }
      this.#onFailed(submission, { record: ending.record, daemon });
    },
    refused: (submission, { daemon, ending }) => {
      if (ending?.type !== "refused") return;
      this.#onFailed(submission, { record: ending.record, daemon });
    },
    broken: (submission, { daemon }) => {
      if (submission.retries.retriesBrokenConnection) {
        this.#retry(submission, { daemon });
      }
    },
    left: (submission, { daemon }) => this.#retry(submission, { daemon }),
  };

  #onAnswered(submission: Submission, daemon: WorldDaemon): void {
    const { repeatAfterMilliseconds } = submission.retries;
    if (repeatAfterMilliseconds === undefined) return;
    if (submission.attempts.length > 1) return;
    this.#options.schedule(
      repeatAfterMilliseconds,
      () => this.#retry(submission, { daemon }),
    );
  }

  #onFailed(submission: Submission, failure: {
    readonly record: FailureRecord;
    readonly daemon: WorldDaemon;
  }): void {
    const { record, daemon } = failure;
    if (!submission.retries.retriesRefusal || record.retry === "never") return;
    const wait = record.retryAfterMilliseconds ??
      DEFAULT_RETRY_DELAY_MILLISECONDS;
    const isLookUp = record.retry === "look_up" &&
      submission.request.idempotencyKey !== undefined;
    this.#options.schedule(
      wait,
      () => this.#retry(submission, { daemon, isLookUp }),
    );
  }

  #retry(submission: Submission, after: NextAttempt): void {
    const { daemon: before, isLookUp = false } = after;
    const { retries, attempts, request, sentAt } = submission;
    if (attempts.length >= retries.maximumAttempts) return;
    const elapsed = this.#options.timer.now() - sentAt;
    if (elapsed >= request.deadlineMilliseconds) return;
    const daemon = retries.usesSameDaemon
      ? before
      : this.#directory.chooseDaemon(submission.zone, before);
    this.#startAttempt(submission, { daemon, isLookUp });
  }
}
