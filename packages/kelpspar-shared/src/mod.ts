export type {
  AcceptedRecord,
  AnswerRecord,
  ChunkRecord,
  EndRecord,
  FailureRecord,
} from "./caller/answer_record.ts";
export type { AddressAnswer, DaemonAddress } from "./caller/address_answer.ts";
export type { BoundKey } from "./caller/bound_key.ts";
export type { StageCost } from "./caller/stage_cost.ts";
export type { SubmitRequest } from "./caller/submit_request.ts";
export type {
  CacheEvent,
  CacheEventPage,
  CacheSnapshot,
} from "./endpoint/cache_event.ts";
export type { EndpointAddress } from "./endpoint/endpoint_address.ts";
export type {
  DesiredEngineState,
  EngineOrder,
} from "./endpoint/engine_order.ts";
export type { EndpointRole, LoadReport } from "./endpoint/load_report.ts";
export type { StageCall } from "./endpoint/stage_call.ts";
export type {
  StageChunkRecord,
  StageEndRecord,
  StageFailureReason,
  StageFailureRecord,
  StageRecord,
  StageRecordIds,
} from "./endpoint/stage_record.ts";
export type { RandomSource } from "./random/random_source.ts";
export type { KelpsparErrorOptions } from "./results/kelpspar_error.ts";
export type { Outcome } from "./results/outcome.ts";
export type { ResultCode } from "./results/result_code.ts";
export type { ResultName } from "./results/result_codes.ts";
export type { RetryAdvice } from "./results/retry_advice.ts";
export type { HostAddress } from "./text/parse_host.ts";
export type { TextPiece } from "./text/offset_assembler.ts";
export type { TimerService } from "./timer/timer_service.ts";
export { formatBoundKey, parseBoundKey } from "./caller/bound_key.ts";
export { toFailureRecord } from "./caller/failure_record.ts";
export {
  MAXIMUM_DEADLINE_MILLISECONDS,
  submitRequestSchema,
} from "./caller/submit_request.ts";
export { SeededRandom } from "./random/seeded_random.ts";
export { SystemRandom } from "./random/system_random.ts";
export { invariant } from "./results/invariant.ts";
export { INVARIANTS } from "./results/invariants.ts";
export { KelpsparError } from "./results/kelpspar_error.ts";
export { renderResultCodes } from "./results/render_result_codes.ts";
export { RESULT_CODES } from "./results/result_codes.ts";
export { toKelpsparError } from "./results/to_kelpspar_error.ts";
export { extendChecksum, formatChecksum } from "./text/checksum.ts";
export { formatHost } from "./text/format_host.ts";
export { parseHost } from "./text/parse_host.ts";
export { equalInConstantTime, sha256 } from "./text/hash.ts";
export { parseJsonLines, readJsonLines } from "./text/json_lines.ts";
export { OffsetAssembler } from "./text/offset_assembler.ts";
export { ManualTimer } from "./timer/manual_timer.ts";
export { SystemTimer } from "./timer/system_timer.ts";
