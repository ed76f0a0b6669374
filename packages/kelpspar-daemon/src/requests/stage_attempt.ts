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
  ConnectionMonitor,
  SilenceVerdict,
} from "kelpspar-decisions/routing";
import type { EndpointClient } from "kelpspar-backends";
import type { StageProgress } from "./stage_progress.ts";
import { KelpsparError as ResultError, toKelpsparError } from "kelpspar-shared";

/** Options of `runStageAttempt`. */
export interface StageAttemptOptions {
  readonly endpoints: EndpointClient;
  readonly endpoint: EndpointAddress;
  readonly call: StageCall;
  /** See StageCallOptions. */
  readonly newConnection: boolean;
  readonly isStream?: boolean;
  readonly progress: StageProgress;
  readonly timer: TimerService;
  /** Decides when the call is suspect and what happens to it then. */
  readonly connectionMonitor: ConnectionMonitor;
  /** The p99 gap between the service's records; undefined when unknown. */
  readonly p99GapMilliseconds: () => number | undefined;
  /** Probes the endpoint; undefined when the call may continue. */
  readonly evaluateSilence: () => Promise<SilenceVerdict | undefined>;
  /** Abort signal of the request. */
  readonly signal: AbortSignal;
  /** Aborts only this attempt. */
  readonly abort: AbortController;
  /** Called with each dropped record that belongs to another call. */
  readonly onForeignRecord: (record: StageRecord) => void;
  /** Called with the verdict on a call that made no progress. */
  readonly onSilent?: (verdict: SilenceVerdict | undefined) => void;
  /** Called for each record that belongs to this call. */
  readonly onRecord?: () => void;
}

const STREAM_CLOSE_TIMEOUT_MILLISECONDS = 20;
const PROGRESS_CHECK_MILLISECONDS = 50;

const RESULT_BY_REASON: Readonly<Record<StageFailureReason, ResultName>> = {
  overloaded: "endpoint_overloaded",
  leaving: "endpoint_leaving",
  failed: "endpoint_failed",
  cancelled: "endpoint_failed",
  unknown_attempt: "endpoint_failed",
  wrong_model: "endpoint_failed",
};

/**
 * Makes one call and reads its records to the end. Throws `endpoint_silent`
 * when the connection makes no progress, and otherwise the errors of the
 * endpoint client and of the endpoint's failure records. An error whose outcome
 * is `not_run` proves that the endpoint did not start the call.
 */
export async function runStageAttempt(
  options: StageAttemptOptions,
): Promise<StageEndRecord> {
  const { abort } = options;
  const forwardAbort = (): void => abort.abort(options.signal.reason);
  if (options.signal.aborted) forwardAbort();
  options.signal.addEventListener("abort", forwardAbort);
  const follow: RecordStreamState = {
    signal: abort.signal,
    end: undefined,
    endedAt: undefined,
    isSilent: false,
  };
  const stopWatch = watchProgress(options, follow, () => abort.abort());
  try {
    await readRecords(options, follow);
  } catch (error) {
    if (isWhole(options.progress, follow.end)) return follow.end;
    if (follow.isSilent) {
      options.onSilent?.(follow.verdict);
      throw createSilentError(options);
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

/** State of reading a call's records. */
interface RecordStreamState {
  readonly signal: AbortSignal;
  end: StageEndRecord | undefined;
  /** When the result became complete, monotonic milliseconds. */
  endedAt: number | undefined;
  isSilent: boolean;
  verdict?: SilenceVerdict;
}

/**
 * Reads the stream to its close, not only to the end record: a connection is
 * reused only when its response was read completely.
 */
async function readRecords(
  options: StageAttemptOptions,
  follow: RecordStreamState,
): Promise<void> {
  const records = options.endpoints.call(options.endpoint, options.call, {
    signal: follow.signal,
    newConnection: options.newConnection,
    isStream: options.isStream ?? true,
  });
  for await (const record of records) {
    if (!belongsToCall(record, options.call)) {
      options.onForeignRecord(record);
      continue;
    }
    options.connectionMonitor.progressed(options.timer.now());
    options.onRecord?.();
    if (record.type === "failure") throw createFailureError(options, record);
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

function belongsToCall(record: StageRecord, call: StageCall): boolean {
  return record.requestId === call.requestId &&
    record.stageId === call.stageId &&
    record.attemptId === call.attemptId;
}

/**
 * Watches a call with one timer rather than one per record, because a stream
 * has thousands of records. After a complete result the stream has only
 * `STREAM_CLOSE_TIMEOUT_MILLISECONDS` to close.
 */
function watchProgress(
  options: StageAttemptOptions,
  follow: RecordStreamState,
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
    stop = timer.registerTimeout(
      check,
      Math.min(wait, PROGRESS_CHECK_MILLISECONDS),
    );
  };
  const check = (): void => {
    const now = timer.now();
    const dueAt = follow.endedAt === undefined
      ? options.connectionMonitor.suspectAt(options.p99GapMilliseconds())
      : follow.endedAt + STREAM_CLOSE_TIMEOUT_MILLISECONDS;
    if (now < dueAt) return schedule(dueAt - now);
    if (follow.endedAt !== undefined) return giveUp();
    void options.evaluateSilence().then((verdict) => {
      if (isStopped) return;
      if (verdict === undefined) return schedule(PROGRESS_CHECK_MILLISECONDS);
      follow.verdict = verdict;
      giveUp();
    });
  };
  schedule(PROGRESS_CHECK_MILLISECONDS);
  return () => {
    isStopped = true;
    stop();
  };
}

function createSilentError(options: StageAttemptOptions): KelpsparError {
  return new ResultError(
    "endpoint_silent",
    `Endpoint "${options.endpoint.endpointId}" made no progress on stage "${options.call.stageId}"`,
  );
}

function createFailureError(
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
