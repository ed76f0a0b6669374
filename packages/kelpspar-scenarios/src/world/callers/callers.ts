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
import { askDaemon } from "./send_to_daemon.ts";
import { CallerDirectory } from "./caller_directory.ts";
import { createKey } from "./create_key.ts";
import { followAnswer } from "./follow_answer.ts";
import { mayHaveBeenTaken } from "./may_have_been_accepted.ts";
import { toEndRecord } from "./to_end_record.ts";

const ZONES: readonly string[] = ["zone-a", "zone-b", "zone-c"];
const DEFAULT_COMEBACK_MILLISECONDS = 100;

/** What callers use of the world. */
export interface CallersOptions extends CallerDirectoryOptions {
  /** Runs an action of the world's agenda. */
  readonly schedule: (
    milliseconds: number,
    action: () => void | Promise<void>,
  ) => void;
  readonly accounts: readonly AccountConfiguration[];
  readonly dropsResubmission: boolean;
}

/** What a caller asks for. */
export interface Wish {
  readonly kind: LoadKind;
  readonly accountId: string;
  readonly deadlineMilliseconds: number;
  readonly retries: RetryPlan;
  /** The daemon it goes to first; default: one that the directory names. */
  readonly daemon?: WorldDaemon;
}

/** A daemon to ask, or that was asked, and how to ask. */
interface NextAttempt {
  readonly daemon: WorldDaemon;
  readonly isLookUp?: boolean;
}

/** The callers of a world and what they were told. */
export class Callers {
  readonly submissions: Submission[] = [];
  readonly #options: CallersOptions;

  readonly #directory: CallerDirectory;

  constructor(options: CallersOptions) {
    this.#options = options;
    this.#directory = new CallerDirectory(options);
  }

  /** Sends a request now. */
  submit(wish: Wish): Submission {
    const number = this.submissions.length + 1;
    const zone = ZONES[number % ZONES.length] ?? "";
    const daemon = wish.daemon ?? this.#directory.choose(zone);
    const token = `T${number}`;
    const key = createKey(wish.kind, { token, daemon });
    const submission: Submission = {
      token,
      accountId: wish.accountId,
      zone,
      kind: wish.kind,
      retries: wish.retries,
      sentAt: this.#options.timer.now(),
      attempts: [],
      request: submitRequestSchema.parse({
        pipeline: wish.kind.pipeline,
        input: `quarter section ${number} token=${token}`,
        deadlineMilliseconds: wish.deadlineMilliseconds,
        nonIdempotent: wish.kind.nonIdempotent,
        ...(key === undefined ? {} : { idempotencyKey: key }),
      }),
    };
    this.submissions.push(submission);
    this.#attempt(submission, { daemon });
    if (wish.retries.atOnce) this.#retry(submission, { daemon });
    return submission;
  }

  #attempt(submission: Submission, next: NextAttempt): void {
    const { daemon, isLookUp = false } = next;
    const { timer } = this.#options;
    const isFirst = submission.attempts.length === 0;
    const isResubmission = !isFirst && mayHaveBeenTaken(submission);
    const attempt: Attempt = {
      daemon,
      sentAt: timer.now(),
      isResubmission,
      isLookUp,
      text: "",
      faults: [],
    };
    submission.attempts.push(attempt);
    this.#watchSilence(submission, attempt);
    void this.#send(submission, attempt);
  }

  async #send(submission: Submission, attempt: Attempt): Promise<void> {
    const { daemon } = attempt;
    if (!daemon.isAlive) {
      return this.#end(submission, { attempt, ending: { type: "broken" } });
    }
    const stopWatch = daemon.process.registerDeathListener(() =>
      this.#end(submission, { attempt, ending: { type: "broken" } })
    );
    await daemon.process.awake();
    const ended = (ending: AttemptEnding): void => {
      stopWatch();
      this.#end(submission, { attempt, ending });
    };
    try {
      const found = await askDaemon(daemon, {
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
      attempt.leave = () => {
        stopReading();
        void daemon.process.awake().then(() =>
          daemon.core.requests.onReaderDisconnected(context)
        );
      };
      if (attempt.ending?.type === "left") attempt.leave();
    } catch (thrown) {
      const record = toFailureRecord(toKelpsparError(thrown), {
        elsewhere: daemon.core.fleet.elsewhere(),
      });
      ended({ type: "refused", record });
    }
  }

  /** A daemon without a configuration is left to refuse by itself. */
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
    const left = request.deadlineMilliseconds -
      (this.#options.timer.now() - sentAt);
    return {
      ...request,
      deadlineMilliseconds: Math.max(1, Math.floor(left)),
      resubmission: isResubmission && !this.#options.dropsResubmission,
    };
  }

  #watchSilence(submission: Submission, attempt: Attempt): void {
    const { silenceMilliseconds, keepsFirst } = submission.retries;
    if (silenceMilliseconds === undefined) return;
    this.#options.schedule(silenceMilliseconds, () => {
      if (attempt.ending !== undefined) return;
      if (keepsFirst) return this.#retry(submission, attempt);
      this.#end(submission, { attempt, ending: { type: "left" } });
    });
  }

  #end(
    submission: Submission,
    end: { readonly attempt: Attempt; readonly ending: AttemptEnding },
  ): void {
    const { attempt, ending } = end;
    if (attempt.ending !== undefined) return;
    attempt.ending = ending;
    attempt.endedAt = this.#options.timer.now();
    if (ending.type === "left") attempt.leave?.();
    // What was kept named a daemon that did not serve.
    if (ending.type !== "answered") this.#directory.forget(submission.zone);
    this.#AFTER[ending.type](submission, attempt);
  }

  readonly #AFTER: Readonly<
    Record<
      AttemptEnding["type"],
      (submission: Submission, attempt: Attempt) => void
    >
  > = {
    answered: (submission, { daemon, ending }) => {
      if (ending?.type !== "answered") return;
      if (ending.record.type === "end") {
        return this.#afterAnswer(submission, daemon);
      }
      this.#afterFailure(submission, { record: ending.record, daemon });
    },
    refused: (submission, { daemon, ending }) => {
      if (ending?.type !== "refused") return;
      this.#afterFailure(submission, { record: ending.record, daemon });
    },
    broken: (submission, { daemon }) => {
      if (submission.retries.onBrokenConnection) {
        this.#retry(submission, { daemon });
      }
    },
    left: (submission, { daemon }) => this.#retry(submission, { daemon }),
  };

  #afterAnswer(submission: Submission, daemon: WorldDaemon): void {
    const { askAgainMilliseconds } = submission.retries;
    if (askAgainMilliseconds === undefined) return;
    if (submission.attempts.length > 1) return;
    this.#options.schedule(
      askAgainMilliseconds,
      () => this.#retry(submission, { daemon }),
    );
  }

  #afterFailure(submission: Submission, failure: {
    readonly record: FailureRecord;
    readonly daemon: WorldDaemon;
  }): void {
    const { record, daemon } = failure;
    if (!submission.retries.onRefusal || record.retry === "never") return;
    const wait = record.retryAfterMilliseconds ?? DEFAULT_COMEBACK_MILLISECONDS;
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
    if (attempts.length >= retries.mostAttempts) return;
    const elapsed = this.#options.timer.now() - sentAt;
    if (elapsed >= request.deadlineMilliseconds) return;
    const daemon = retries.atSameDaemon
      ? before
      : this.#directory.choose(submission.zone, before);
    this.#attempt(submission, { daemon, isLookUp });
  }
}
