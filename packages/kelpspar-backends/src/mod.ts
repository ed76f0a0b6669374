export type {
  EndpointClient,
  StageCallOptions,
} from "./endpoint/endpoint_client.ts";
export type { HttpEndpointClientOptions } from "./endpoint/http_endpoint_client.ts";
export type { PlatformClientOptions } from "./http/platform_client_options.ts";
export type { JsonAnswer, JsonExchange } from "./http/json_http_client.ts";
export type { ObjectStore } from "./object/object_store.ts";
export type {
  TableKey,
  TableRow,
  TableScan,
  TableService,
  TableTransaction,
  TableWrite,
  TransactionResult,
} from "./table/table_service.ts";
export type { ListedVm, VmList, VmListAnswer } from "./vm/vm_list.ts";
export type { WeightGrant, WeightStore } from "./weight/weight_store.ts";
export { HttpEndpointClient } from "./endpoint/http_endpoint_client.ts";
export {
  ExchangeError,
  isConnectFailure,
  JsonHttpClient,
} from "./http/json_http_client.ts";
export { HttpObjectStore } from "./object/http_object_store.ts";
export { HttpTableService } from "./table/http_table_service.ts";
export { HttpVmList } from "./vm/http_vm_list.ts";
export { HttpWeightStore } from "./weight/http_weight_store.ts";
