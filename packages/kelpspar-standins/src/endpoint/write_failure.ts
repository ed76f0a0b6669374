import type {
  StageCall,
  StageFailureReason,
  StageFailureRecord,
} from "kelpspar-shared";
import type { RecordWriter } from "./record_writer.ts";

const RETRY_AFTER_MILLISECONDS: Partial<Record<StageFailureReason, number>> = {
  overloaded: 50,
};

/** Writes one failure record and ends the response. */
export function writeFailure(
  writer: RecordWriter,
  failure: {
    readonly call: StageCall;
    readonly started: boolean;
    readonly reason: StageFailureReason;
  },
): void {
  const { requestId, stageId, attemptId } = failure.call;
  const retryAfterMilliseconds = RETRY_AFTER_MILLISECONDS[failure.reason];
  const record: StageFailureRecord = {
    type: "failure",
    requestId,
    stageId,
    attemptId,
    started: failure.started,
    reason: failure.reason,
  };
  writer.write(
    retryAfterMilliseconds === undefined
      ? record
      : { ...record, retryAfterMilliseconds },
  );
  writer.end();
}
