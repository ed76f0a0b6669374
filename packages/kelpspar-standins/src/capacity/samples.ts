import type { PeerDigest } from "kelpspar-daemon";
import type { DemandDigest } from "kelpspar-decisions/fairness";
import type { ListedDaemon } from "kelpspar-decisions/membership";
import type { ListedEndpoint } from "kelpspar-decisions/routing";
import type { LoadReport } from "kelpspar-shared";

/** Numbers of zones, models, services and accounts at the target size. */
export const ZONE_COUNT = 10;
export const MODEL_COUNT = 29;
export const SERVICE_COUNT = 30;
export const ACCOUNT_COUNT = 380;

/** Ids of the first `count` objects of a kind. */
export function listNames(kind: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => nameOf(kind, index));
}

/** Id of an object of a kind, e.g. `runner-0001`. */
export function nameOf(kind: string, index: number): string {
  return `${kind}-${String(index).padStart(4, "0")}`;
}

/** Zone of the object at an index; zones are assigned round robin. */
export function zoneOf(index: number): string {
  return nameOf("zone", index % ZONE_COUNT);
}

/** VM list rows for runners of one service. */
export function sampleEndpoints(count: number): ListedEndpoint[] {
  return listNames("runner", count).map((endpointId, index) => ({
    state: "live",
    address: {
      endpointId,
      incarnation: `${endpointId}-1`,
      address: "127.0.0.1",
      port: 20_000 + index,
      availabilityZone: zoneOf(index),
      service: "engine",
      checksFencing: true,
    },
  }));
}

/** A runner's load report; each runner has two of the 29 models loaded. */
export function sampleReport(index: number, sequence: number): LoadReport {
  return {
    incarnation: `${nameOf("runner", index)}-1`,
    sequence,
    state: "ready",
    running: sequence % 7,
    waiting: 0,
    concurrency: 16,
    accepted: 1_000 + sequence,
    queuedTokens: 2_000,
    models: {
      [nameOf("model", index % MODEL_COUNT)]: "2025.3",
      [nameOf("model", (index + 1) % MODEL_COUNT)]: "2025.3",
    },
    adapters: ["adapter-0001"],
    role: "any",
  };
}

/** VM list rows for daemons. */
export function sampleDaemons(count: number): ListedDaemon[] {
  return listNames("daemon", count).map((daemonId, index) => ({
    daemonId,
    incarnation: `${daemonId}-1`,
    address: "127.0.0.1",
    port: 10_000 + index,
    availabilityZone: zoneOf(index),
    state: "live",
  }));
}

/** Sizes and identity of a sample digest. */
export interface SampleDigestOptions {
  readonly daemon: number;
  readonly sequence: number;
  /** Number of demand rows; each is for one account at one service. */
  readonly rows: number;
  /** Number of endpoints whose load the digest contains. */
  readonly endpoints: number;
}

/** A daemon's demand digest, with its rows spread over the services. */
export function sampleDemand(options: SampleDigestOptions): DemandDigest {
  const services = Math.min(SERVICE_COUNT, Math.max(1, options.rows));
  return {
    scope: "daemon",
    incarnation: `${nameOf("daemon", options.daemon)}-1`,
    sequence: options.sequence,
    availabilityZone: zoneOf(options.daemon),
    daemons: 1,
    services: listNames("service", services).map((serviceId, service) => ({
      serviceId,
      capacitySeen: 4_000,
      accounts: sampleAccountRows(
        options,
        Math.ceil((options.rows - service) / services),
      ),
    })),
  };
}

/** A peer digest in the format that daemons send. */
export function sampleDigest(options: SampleDigestOptions): PeerDigest {
  const daemonId = nameOf("daemon", options.daemon);
  const endpoints = listNames("runner", options.endpoints);
  const demand = sampleDemand(options);
  return {
    member: {
      daemonId,
      incarnation: `${daemonId}-1`,
      sequence: options.sequence,
      address: "127.0.0.1",
      port: 10_000 + options.daemon,
      peerPort: 10_000 + options.daemon,
      availabilityZone: zoneOf(options.daemon),
      state: "serving",
      keyEpoch: 3,
      revision: 4_400,
      spareShare: 0.42,
      loads: {
        endpointIds: endpoints,
        sequences: endpoints.map(() => 86_400),
        running: endpoints.map(() => 12),
        waiting: endpoints.map(() => 0),
        accepted: endpoints.map(() => 123_456),
        agesMilliseconds: endpoints.map(() => 480),
      },
      changedReports: [],
      suspectEndpoints: [],
      usage: { accountIds: [], costs: [] },
    },
    drains: { version: 1, endpoints: {}, daemons: {} },
    takenOut: { version: 1, endpoints: {}, daemons: {} },
    demands: [{
      ...demand,
      services: demand.services.map((service) => ({
        ...service,
        accounts: [...service.accounts],
      })),
    }],
  };
}

function sampleAccountRows(
  options: SampleDigestOptions,
  count: number,
): DemandDigest["services"][number]["accounts"] {
  return Array.from({ length: Math.min(count, ACCOUNT_COUNT) }, (_, index) => ({
    accountId: nameOf("account", (options.daemon * 7 + index) % ACCOUNT_COUNT),
    demand: 2,
    usageRate: 731.25,
  })).sort((left, right) => left.accountId < right.accountId ? -1 : 1);
}
