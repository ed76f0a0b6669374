export type {
  KeyRange,
  RowChanges,
  RowPut,
  RowRangeStore,
  RowsWritten,
  StoredRow,
  StoredRows,
} from "./tables/row_range_store.ts";
export type { RowAnswer, RowStore } from "./tables/row_store.ts";
export type { ListTiming } from "./endpoints/list_timing.ts";
export type {
  CallerLimits,
  ClientAccount,
  ServingConfiguration,
} from "./configuration/serving_configuration.ts";
export type {
  RequestKind,
  RouteStage,
  RouteTarget,
  ServiceRoute,
} from "./configuration/service_route.ts";
export type {
  PieceTerms,
  ServiceDefinition,
} from "./configuration/service_definition.ts";
export type { EndpointEntry } from "./endpoints/endpoint_entry.ts";
export type {
  AnsweringEndpoint,
  EndpointNotice,
} from "./endpoints/endpoint_notices.ts";
export type { DaemonAddress } from "./fleet/fleet_digest.ts";
export type { ListeningState } from "./exchange/check_listening.ts";
export type { RequestDecoder } from "./front/front_server.ts";
export type { TextAnswer, TextHandler } from "./front/text_server.ts";
export type { LoadReport } from "./load/load_report.ts";
export type { GatewayLog, LogFields } from "./log/gateway_log.ts";
export type {
  PieceAnswer,
  PieceCall,
  PieceCallAnswer,
  PieceClient,
  PieceFailure,
  PieceRequest,
  ResultMaker,
  RoomReport,
} from "./pieces/piece_call.ts";
export type {
  EndpointAnswer,
  EndpointCall,
  EndpointClient,
} from "./requests/endpoint_call.ts";
export type { PromptPart, ServingRequest } from "./requests/serving_request.ts";
export type { PollIntervals, ReadingPlan } from "./tables/reading_plan.ts";
export type { FollowAnswer, FollowRequest } from "./tables/table_changes.ts";
export type { FeedTimes } from "./tables/feed_times.ts";
export type { FollowClient } from "./tables/table_follower.ts";
export type {
  CallTimes,
  FeedAnswer,
  ReportedEra,
  StoreAnswer,
  TablePage,
  TableRow,
  TableStore,
} from "./tables/table_store.ts";
export type { GatewayDaemonOptions } from "./gateway_daemon.ts";
export { ActiveConfiguration } from "./configuration/active_configuration.ts";
export { EndpointRegistry } from "./endpoints/endpoint_registry.ts";
export { EndpointNotices } from "./endpoints/endpoint_notices.ts";
export { MissingEntryGracePeriod } from "./endpoints/missing_entry_grace_period.ts";
export {
  computeApplyMilliseconds,
  computeListTiming,
} from "./endpoints/list_timing.ts";
export { endToEndHeaders, headerValue } from "./exchange/connection_headers.ts";
export { checkListening } from "./exchange/check_listening.ts";
export type { HttpExchangeResult } from "./exchange/http_exchange.ts";
export { exchangeHttp } from "./exchange/http_exchange.ts";
export { MalformedAnswers } from "./exchange/malformed_answers.ts";
export { ConnectionAttempts } from "./isolation/connection_attempts.ts";
export { listen } from "./front/listen.ts";
export { createTextServer } from "./front/text_server.ts";
export { GatewayDaemon } from "./gateway_daemon.ts";
export { AnomalyLog } from "./log/anomaly_log.ts";
export { LineLog } from "./log/line_log.ts";
export { Quarantine } from "./quarantine/quarantine.ts";
export { QuarantineRows } from "./quarantine/quarantine_rows.ts";
export { reportBodyLimit } from "./exchange/report_body_limit.ts";
export { readBody } from "kelpspar-http";
export { OwnRow } from "./tables/own_row.ts";
export { planReading } from "./tables/reading_plan.ts";
export { relayTimes } from "./tables/relay_times.ts";
export { SharedTables } from "./tables/shared_tables.ts";
export { StoreEra } from "./tables/store_era.ts";
export {
  MAXIMUM_FIRST_RETRY_DELAY_MILLISECONDS,
  MAXIMUM_RETRY_DELAY_MILLISECONDS,
} from "./tables/feed_pace.ts";
export { TableMirror } from "./tables/table_mirror.ts";
export { StoreCallError, StoreTimeoutError } from "./tables/table_store.ts";
