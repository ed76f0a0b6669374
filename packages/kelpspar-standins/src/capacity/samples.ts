import type { PeerDigest } from "kelpspar-daemon";
import type { DemandDigest } from "kelpspar-decisions/fairness";
import type { ListedDaemon } from "kelpspar-decisions/membership";
import type { ListedEndpoint } from "kelpspar-decisions/routing";
import type { LoadReport } from "kelpspar-shared";

/** The target's zones, models, services and accounts. */
export const ZONES = 10;
export const MODELS = 29;
export const SERVICES = 30;
export const ACCOUNTS = 380;

/** Names `count` things of a kind. */
export function nameAll(kind: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => nameOf(kind, index));
}

/** Names one thing of a kind. */
export function nameOf(kind: string, index: number): string {
  return `${kind}-${String(index).padStart(4, "0")}`;
}

/** The zone of the n-th thing. */
export function zoneOf(index: number): string {
  return nameOf("zone", index % ZONES);
}

/** The rows of the VM list that are runners of one service. */
export function sampleEndpoints(count: number): ListedEndpoint[] {
  return nameAll("runner", count).map((endpointId, index) => ({
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

/** A runner's load report; each runner has two of the 29 models. */
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
      [nameOf("model", index % MODELS)]: "2025.3",
      [nameOf("model", (index + 1) % MODELS)]: "2025.3",
    },
    adapters: ["adapter-0001"],
    role: "any",
  };
}

/** The rows of the VM list that are daemons. */
export function sampleDaemons(count: number): ListedDaemon[] {
  return nameAll("daemon", count).map((daemonId, index) => ({
    daemonId,
    incarnation: `${daemonId}-1`,
    address: "127.0.0.1",
    port: 10_000 + index,
    availabilityZone: zoneOf(index),
    state: "live",
  }));
}

/** What a digest is filled with. */
export interface DigestFill {
  readonly daemon: number;
  readonly sequence: number;
  /** Rows of demand, an account at a service each. */
  readonly rows: number;
  /** Endpoints that it publishes. */
  readonly endpoints: number;
}

/** A daemon's demand: rows spread over the services. */
export function sampleDemand(fill: DigestFill): DemandDigest {
  const services = Math.min(SERVICES, Math.max(1, fill.rows));
  return {
    scope: "daemon",
    incarnation: `${nameOf("daemon", fill.daemon)}-1`,
    sequence: fill.sequence,
    availabilityZone: zoneOf(fill.daemon),
    daemons: 1,
    services: nameAll("service", services).map((serviceId, service) => ({
      serviceId,
      capacitySeen: 4_000,
      accounts: accountRows(fill, Math.ceil((fill.rows - service) / services)),
    })),
  };
}

/** A digest as daemons send it. */
export function sampleDigest(fill: DigestFill): PeerDigest {
  const daemonId = nameOf("daemon", fill.daemon);
  const endpoints = nameAll("runner", fill.endpoints);
  const demand = sampleDemand(fill);
  return {
    member: {
      daemonId,
      incarnation: `${daemonId}-1`,
      sequence: fill.sequence,
      address: "127.0.0.1",
      port: 10_000 + fill.daemon,
      peerPort: 10_000 + fill.daemon,
      availabilityZone: zoneOf(fill.daemon),
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

function accountRows(
  fill: DigestFill,
  count: number,
): DemandDigest["services"][number]["accounts"] {
  return Array.from({ length: Math.min(count, ACCOUNTS) }, (_, index) => ({
    accountId: nameOf("account", (fill.daemon * 7 + index) % ACCOUNTS),
    demand: 2,
    usageRate: 731.25,
  })).sort((left, right) => left.accountId < right.accountId ? -1 : 1);
}
