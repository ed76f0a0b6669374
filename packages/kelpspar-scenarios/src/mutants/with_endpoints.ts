import type { EndpointClient, StageCallOptions } from "kelpspar-backends";
import type {
  EndpointAddress,
  LoadReport,
  StageCall,
  StageRecord,
} from "kelpspar-shared";
import type { WorldMutation } from "../world/world_mutation.ts";

/** An intercepted call of a daemon. */
export interface InterceptedCall {
  readonly address: EndpointAddress;
  readonly call: StageCall;
  readonly options: StageCallOptions;
}

/** Overrides of an endpoint client; other methods are passed through. */
export interface EndpointOverrides {
  readonly call?: (
    client: EndpointClient,
    intercepted: InterceptedCall,
  ) => AsyncIterable<StageRecord>;
  readonly load?: (report: LoadReport) => LoadReport;
  readonly renews?: boolean;
}

/** Overrides the endpoint client of every daemon. */
export function withEndpoints(changes: EndpointOverrides): WorldMutation {
  return {
    ports: (ports) => ({
      ...ports,
      endpoints: overrideClient(ports.endpoints, changes),
    }),
  };
}

/** Maps each record of every call. */
export function withRecords(
  change: (record: StageRecord, call: StageCall) => StageRecord,
): WorldMutation {
  return withEndpoints({
    call: (client, { address, call, options }) =>
      mapRecords(
        client.call(address, call, options),
        (record) => change(record, call),
      ),
  });
}

async function* mapRecords(
  records: AsyncIterable<StageRecord>,
  change: (record: StageRecord) => StageRecord,
): AsyncGenerator<StageRecord> {
  for await (const record of records) yield change(record);
}

/** Wraps a client with overrides. */
export function overrideClient(
  client: EndpointClient,
  changes: EndpointOverrides,
): EndpointClient {
  return {
    call: (address, call, options) =>
      changes.call?.(client, { address, call, options }) ??
        client.call(address, call, options),
    load: async (address) => {
      const report = await client.load(address);
      return changes.load?.(report) ?? report;
    },
    renewConnections: (address) => {
      if (changes.renews !== false) client.renewConnections(address);
    },
    cancel: (address, attemptId) => client.cancel(address, attemptId),
    cacheEvents: (address, after) => client.cacheEvents(address, after),
    cacheSnapshot: (address) => client.cacheSnapshot(address),
    order: (address, order) => client.order(address, order),
    copyCache: (prefixHash, options) => client.copyCache(prefixHash, options),
  };
}
