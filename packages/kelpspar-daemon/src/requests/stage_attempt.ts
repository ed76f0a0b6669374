import type {
  EndpointAddress,
  KelpsparError,
  StageCall,
  StageChunkRecord,
  StageEndRecord,
  StageFailureReason,
  StageFailureRecord,
  StageRecord,
  TimerService,
} from "kelpspar-shared";
import type { ResultName } from "kelpspar-shared";
import type {
  ConnectionWatch,
  SilenceVerdict,
} from "kelpspar-decisions/routing";
import type { EndpointClient } from "kelpspar-backends";
import type { StageProgress } from "./stage_progress.ts";
import { KelpsparError as ResultError, toKelpsparError } from "kelpspar-shared";

/** One call of one stage at one endpoint. */
export interface StageAttemptOptions {
  readonly endpoints: EndpointClient;
  readonly endpoint: EndpointAddress;
  readonly call: StageCall;
  /** See StageCallOptions. */
  readonly newConnection: boolean;
  readonly isStream?: boolean;
  readonly progress: StageProgress;
  readonly timer: TimerService;
  /** Says when the call is suspect, and what becomes of it then. */
  readonly watch: ConnectionWatch;
  /** The p99 between records of the service; undefined when not known. */
  readonly gapMilliseconds: () => number | undefined;
  /** Asks the endpoint; undefined when the call may go on. */
  readonly judgeSilence: () => Promise<SilenceVerdict | undefined>;
  /** The request's own signal. */
  readonly signal: AbortSignal;
  /** Aborting it ends this attempt alone. */
  readonly abort: AbortController;
  /** Told of each record that answers another call and was dropped. */
  readonly onForeignRecord: (record: StageRecord) => void;
  /** Told what was decided on a call that made no progress. */
  readonly onSilent?: (verdict: SilenceVerdict | undefined) => void;
  /** Told of each record that answers this call. */
  readonly onRecord?: () => void;
}

const CLOSE_WAIT_MILLISECONDS = 20;
const CHECK_MILLISECONDS = 50;

const RESULT_BY_REASON: Readonly<Record<StageFailureReason, ResultName>> = {
  overloaded: "endpoint_overloaded",
  leaving: "endpoint_leaving",
  failed: "endpoint_failed",
  cancelled: "endpoint_failed",
  unknown_attempt: "endpoint_failed",
  wrong_model: "endpoint_failed",
};

/**
 * Makes one call and follows its records to the end. Throws `endpoint_silent`
 * when the connection makes no progress, else as the endpoint client and the
 * endpoint's own failure records say. An error whose outcome is `not_run`
 * proves that the endpoint did not start the call.
 */
export async function runStageAttempt(
  options: StageAttemptOptions,
): Promise<StageEndRecord> {
  const { abort } = options;
  const forwardAbort = (): void => abort.abort(options.signal.reason);
  if (options.signal.aborted) forwardAbort();
  options.signal.addEventListener("abort", forwardAbort);
  const follow: RecordFollower = {
    signal: abort.signal,
    end: undefined,
    endedAt: undefined,
    isSilent: false,
  };
  const stopWatch = watchProgress(options, follow, () => abort.abort());
  try {
    await followRecords(options, follow);
  } catch (error) {
    if (isWhole(options.progress, follow.end)) return follow.end;
    if (follow.isSilent) {
      options.onSilent?.(follow.verdict);
      throw silentError(options);
    }
    throw toKelpsparError(error, "endpoint_failed");
  } finally {
    stopWatch();
    options.signal.removeEventListener("abort", forwardAbort);
  }
  if (isWhole(options.progress, follow.end)) return follow.end;
  throw new ResultError(
    "endpoint_failed",
    `Endpoint "${options.endpoint.endpointId}" ended stage "${options.call.stageId}" before its result was whole`,
  );
}

/** How far the records of a call were followed. */
interface RecordFollower {
  readonly signal: AbortSignal;
  end: StageEndRecord | undefined;
  /** When the result was whole, monotonic milliseconds. */
  endedAt: number | undefined;
  isSilent: boolean;
  verdict?: SilenceVerdict;
}

/**
 * Follows the stream to its close, not only to the end record, since a
 * connection is kept for the next call only when its answer was read whole.
 */
async function followRecords(
  options: StageAttemptOptions,
  follow: RecordFollower,
): Promise<void> {
  const records = options.endpoints.call(options.endpoint, options.call, {
    signal: follow.signal,
    newConnection: options.newConnection,
    isStream: options.isStream ?? true,
  });
  for await (const record of records) {
    if (!answersCall(record, options.call)) {
      options.onForeignRecord(record);
      continue;
    }
    options.watch.progressed(options.timer.now());
    options.onRecord?.();
    if (record.type === "failure") throw failureError(options, record);
    if (record.type === "end") follow.end = record;
    else options.progress.push(toPiece(record));
    if (isWhole(options.progress, follow.end)) {
      follow.endedAt ??= options.timer.now();
    }
  }
}

function toPiece(
  record: StageChunkRecord,
): { readonly offset: number; readonly text: string } {
  return { offset: record.offset, text: record.text };
}

function isWhole(
  progress: StageProgress,
  end: StageEndRecord | undefined,
): end is StageEndRecord {
  return end !== undefined && !progress.hasGap &&
    progress.length === end.length;
}

function answersCall(record: StageRecord, call: StageCall): boolean {
  return record.requestId === call.requestId &&
    record.stageId === call.stageId &&
    record.attemptId === call.attemptId;
}

/**
 * One timer follows a whole call rather than one a record, since a stream has
 * thousands of records. A result that is whole waits only a moment for its
 * stream to close.
 */
function watchProgress(
  options: StageAttemptOptions,
  follow: RecordFollower,
  onSilent: () => void,
): () => void {
  const { timer } = options;
  let stop = (): void => {};
  let isStopped = false;
  const giveUp = (): void => {
    follow.isSilent = true;
    onSilent();
  };
  const schedule = (wait: number): void => {
    if (isStopped) return;
    stop = timer.registerTimeout(check, Math.min(wait, CHECK_MILLISECONDS));
  };
  const check = (): void => {
    const now = timer.now();
    const dueAt = follow.endedAt === undefined
      ? options.watch.suspectAt(options.gapMilliseconds())
      : follow.endedAt + CLOSE_WAIT_MILLISECONDS;
    if (now < dueAt) return schedule(dueAt - now);
    if (follow.endedAt !== undefined) return giveUp();
    void options.judgeSilence().then((verdict) => {
      if (isStopped) return;
      if (verdict === undefined) return schedule(CHECK_MILLISECONDS);
      follow.verdict = verdict;
      giveUp();
    });
  };
  schedule(CHECK_MILLISECONDS);
  return () => {
    isStopped = true;
    stop();
  };
}

function silentError(options: StageAttemptOptions): KelpsparError {
  return new ResultError(
    "endpoint_silent",
    `Endpoint "${options.endpoint.endpointId}" made no progress on stage "${options.call.stageId}"`,
  );
}

function failureError(
  options: StageAttemptOptions,
  record: StageFailureRecord,
): KelpsparError {
  return new ResultError(
    RESULT_BY_REASON[record.reason],
    `Endpoint "${options.endpoint.endpointId}" failed stage "${options.call.stageId}": ${record.reason}`,
    {
      outcome: record.started ? "outcome_unknown" : "not_run",
      ...(record.retryAfterMilliseconds === undefined
        ? {}
        : { retryAfterMilliseconds: record.retryAfterMilliseconds }),
    },
  );
}
