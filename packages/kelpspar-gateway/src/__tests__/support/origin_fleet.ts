import type { ServingConfiguration } from "../../configuration/serving_configuration.ts";
import type { DaemonAddress } from "../../fleet/fleet_digest.ts";
import type { BegunStream } from "../../streams/stream_origin.ts";
import type { FindOptions } from "../../streams/origin_search.ts";
import type { StreamRoute } from "../../streams/software_candidates.ts";
import type { OriginLookup } from "../../streams/stream_origins.ts";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { ActiveConfiguration } from "../../configuration/active_configuration.ts";
import { EndpointRegistry } from "../../endpoints/endpoint_registry.ts";
import { StreamOrigins } from "../../streams/stream_origins.ts";
import { StoreEra } from "../../tables/store_era.ts";
import { RowTable } from "./row_table.ts";

/** Service of the endpoints. */
export const SERVICE = "model";
const ROUTE = "route";
const DEADLINE_MILLISECONDS = 15_000;
/** Round trip between two daemons. */
const ROUND_TRIP_MILLISECONDS = 2;

/** Resumable routes, by name, to a service each. */
function configurationOf(
  routes: Readonly<Record<string, string>>,
  version: number,
): ServingConfiguration {
  return {
    version,
    routes: Object.entries(routes).map(([name, service]) => ({
      name,
      host: "host",
      prefix: `/${name}`,
      kind: "stream",
      timeoutMilliseconds: DEADLINE_MILLISECONDS,
      objectiveMilliseconds: 1_000,
      attempts: 2,
      priority: 0,
      targets: [{ service, weight: 1 }],
      isPublic: true,
      isResumable: true,
      stages: [],
    })),
    services: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
    accounts: undefined,
  };
}

/** Options of `OriginFleet.add`. */
export interface AddDaemonOptions {
  /** False for a daemon that keeps nothing in the store. */
  readonly usesStore?: boolean;
}

/** Options of `OriginFleet`. */
export interface OriginFleetOptions {
  /** Resumable routes beside the one that streams begin on, to a service each. */
  readonly otherRoutes?: Readonly<Record<string, string>>;
}

/** How a daemon answers others: not any more, or not at all. */
export type DaemonFault = "none" | "refused" | "silent";

/** Whether a daemon's endpoint list is that of the store. */
interface EndpointListState {
  isRead: boolean;
  /** Since when it isn't compared any more, monotonic milliseconds. */
  staleSince: number | undefined;
}

interface FleetDaemon {
  readonly address: DaemonAddress;
  readonly registry: EndpointRegistry;
  readonly origins: StreamOrigins;
  readonly era: StoreEra;
  readonly configuration: ActiveConfiguration;
  readonly endpointList: EndpointListState;
  /** Ends the process: its calls to the store have no effect any more. */
  readonly kill: () => void;
  fault: DaemonFault;
  /** Members that it lists; all that are in the fleet by default. */
  view: readonly string[] | undefined;
  /** Members that it hears from; all of its view by default. */
  reachable: readonly string[] | undefined;
  /** True while its calls to the store fail. */
  isCutFromStore: boolean;
}

/** Daemons that begin streams and take them up, on one manual clock. */
export class OriginFleet {
  readonly timer = new ManualTimer();
  readonly daemons = new Map<string, FleetDaemon>();
  readonly store = new RowTable(this.timer);
  readonly #unreachableStore = new RowTable(this.timer);
  /** Calls between daemons. */
  calls = 0;
  #starts = 0;
  readonly #otherRoutes: Readonly<Record<string, string>>;
  #service = SERVICE;
  #configurationVersion = 1;

  constructor({ otherRoutes = {} }: OriginFleetOptions = {}) {
    this.#otherRoutes = otherRoutes;
    this.#unreachableStore.isAway = true;
  }

  /** Adds a daemon that lists one endpoint of each version. */
  add(
    daemonId: string,
    zone: string,
    versions: readonly string[],
    { usesStore = true }: AddDaemonOptions = {},
  ): void {
    const { timer } = this;
    const registry = new EndpointRegistry();
    const configuration = new ActiveConfiguration();
    const address = { daemonId, zone, peer: daemonId, front: "", cores: 1 };
    const era = new StoreEra({ timer, anomalies: { note: () => {} } });
    const endpointList: EndpointListState = {
      isRead: versions.length > 0,
      staleSince: undefined,
    };
    let isRunning = true;
    const origins = new StreamOrigins({
      self: address,
      incarnation: `start-${++this.#starts}`,
      registry,
      configuration,
      listConfirmedAt: () =>
        endpointList.isRead
          ? endpointList.staleSince ?? timer.now()
          : Number.NEGATIVE_INFINITY,
      store: () => {
        if (!isRunning || !usesStore) return undefined;
        const isCut = this.daemons.get(daemonId)?.isCutFromStore === true;
        return isCut ? this.#unreachableStore : this.store;
      },
      era,
      timer,
      random: new SeededRandom(this.#starts),
      log: { info: () => {}, warn: () => {} },
      membership: {
        liveMembers: () =>
          this.#membersSeenBy(daemonId).filter(({ address }) =>
            this.daemons.get(daemonId)?.reachable?.includes(
              address.daemonId,
            ) ?? true
          ),
        contacts: () =>
          this.#membersSeenBy(daemonId).map(({ address }) => address),
      },
      peers: {
        recordStreams: (peer, streams) =>
          this.#call(peer, (daemon) => {
            daemon.origins.record(streams);
            return null;
          }),
        tellStreams: (peer, streams) =>
          this.#call(peer, (daemon) => {
            daemon.origins.hold(streams);
            return null;
          }),
        findRecorded: async (peer, attemptId) =>
          await await this.#call(
            peer,
            (daemon) => daemon.origins.findRecorded(attemptId),
          ),
        askOrigin: (peer, options) =>
          this.#call(peer, (daemon) => daemon.origins.answer(options)),
      },
    });
    const stop = origins.register();
    const kill = (): void => {
      isRunning = false;
      stop();
    };
    const fault = "none";
    const view = undefined;
    const daemon = {
      address,
      registry,
      origins,
      era,
      configuration,
      endpointList,
      kill,
      fault,
      view,
      reachable: undefined,
      isCutFromStore: false,
    };
    this.daemons.set(daemonId, daemon as FleetDaemon);
    configuration.applyIfNewer(this.#configuration);
    for (const version of versions) this.list(daemonId, version);
  }

  /** Moves the route to another service, at all daemons but some. */
  moveRoute(
    service: string,
    { exceptAt = [] }: { readonly exceptAt?: readonly string[] } = {},
  ): void {
    this.#service = service;
    this.#configurationVersion++;
    for (const [daemonId, { configuration }] of this.daemons) {
      if (exceptAt.includes(daemonId)) continue;
      configuration.applyIfNewer(this.#configuration);
    }
  }

  /** Kills all daemons and starts them again with these versions listed. */
  restartAll(versions: readonly string[]): void {
    const killed = [...this.daemons.values()];
    this.daemons.clear();
    for (const { kill } of killed) kill();
    for (const { address } of killed) {
      this.add(address.daemonId, address.zone, versions);
    }
  }

  /** Lists an endpoint of this version at one daemon. */
  list(
    daemonId: string,
    version: string,
    { isDraining = false, service = SERVICE }: {
      readonly isDraining?: boolean;
      readonly service?: string;
    } = {},
  ): void {
    const { registry, endpointList } = this.#daemon(daemonId);
    endpointList.isRead = true;
    registry.upsert({
      id: `endpoint-${version}`,
      bornAt: 0,
      service,
      address: "10.0.0.1:80",
      zone: "a",
      version,
      slots: 4,
      isDraining,
    }, this.timer.now());
  }

  /** Kills a daemon; it isn't a member of the fleet any more. */
  kill(daemonId: string): void {
    this.#daemon(daemonId).kill();
    this.daemons.delete(daemonId);
  }

  unlist(daemonId: string, version: string): void {
    this.#daemon(daemonId).registry.retire({
      id: `endpoint-${version}`,
      bornAt: 0,
    });
  }

  setFault(daemonId: string, fault: DaemonFault): void {
    this.#daemon(daemonId).fault = fault;
  }

  /** Stops comparing a daemon's list with the store's. */
  makeListStale(daemonId: string): void {
    this.#daemon(daemonId).endpointList.staleSince = this.timer.now();
  }

  /** Cuts a daemon off from the store, whose list it keeps, or ends that. */
  setCutFromStore(daemonId: string, isCut: boolean): void {
    const daemon = this.#daemon(daemonId);
    daemon.isCutFromStore = isCut;
    daemon.endpointList.staleSince = isCut ? this.timer.now() : undefined;
  }

  /** Whether a daemon may begin streams at a version, though it has others. */
  isSettled(daemonId: string, version: string): boolean {
    const { origins } = this.#daemon(daemonId);
    return origins.isSettled({ service: this.#service, version });
  }

  /** Sets which of the daemons that it knows a daemon hears from. */
  setReachable(daemonId: string, reachable: readonly string[]): void {
    this.#daemon(daemonId).reachable = reachable;
  }

  setView(daemonId: string, view: readonly string[]): void {
    this.#daemon(daemonId).view = view;
  }

  /** Begins a stream; returns how long its first event waited, milliseconds. */
  async begin(
    daemonId: string,
    stream: {
      readonly attemptId: string;
      readonly version: string;
      readonly sends?: number;
    },
  ): Promise<number> {
    const begun: BegunStream = {
      service: this.#service,
      remainingMilliseconds: DEADLINE_MILLISECONDS,
      sends: 1,
      ...stream,
    };
    const startedAt = this.timer.now();
    let endedAt = startedAt;
    await this.#settle(
      this.#daemon(daemonId).origins.begin({
        stream: begun,
        ...this.#routeAt(daemonId),
      }).then(() => endedAt = this.timer.now()),
    );
    const { attemptId } = stream;
    this.#daemon(daemonId).origins.begun({
      attemptId,
      ...this.#routeAt(daemonId),
    });
    return endedAt - startedAt;
  }

  /** Takes a stream up; also returns the time that it took, milliseconds. */
  async find(
    daemonId: string,
    attemptId: string,
  ): Promise<OriginLookup & { readonly tookMilliseconds: number }> {
    const options: FindOptions = { attemptId, ...this.#routeAt(daemonId) };
    const startedAt = this.timer.now();
    let endedAt = startedAt;
    const lookup = this.#daemon(daemonId).origins.find(options);
    await this.#settle(lookup.then(() => endedAt = this.timer.now()));
    return { ...await lookup, tookMilliseconds: endedAt - startedAt };
  }

  get #configuration(): ServingConfiguration {
    return configurationOf(
      { [ROUTE]: this.#service, ...this.#otherRoutes },
      this.#configurationVersion,
    );
  }

  /** The route as a daemon's configuration has it. */
  #routeAt(daemonId: string): StreamRoute {
    const { table } = this.#daemon(daemonId).configuration;
    const route = table?.configuration.routes.find(({ name }) =>
      name === ROUTE
    );
    const services = route?.targets.map(({ service }) => service) ?? [];
    return { route: ROUTE, services };
  }

  #daemon(daemonId: string): FleetDaemon {
    const daemon = this.daemons.get(daemonId);
    if (daemon === undefined) throw new Error(`No daemon "${daemonId}"`);
    return daemon;
  }

  #membersSeenBy(
    daemonId: string,
  ): ReturnType<
    ConstructorParameters<typeof StreamOrigins>[0]["membership"]["liveMembers"]
  > {
    const view = this.daemons.get(daemonId)?.view;
    const heartbeat = {
      isLeaving: false,
      isReady: true,
      isStoreFresh: true,
      isIsolated: false,
    };
    return [...this.daemons.values()]
      .map(({ address }) => ({ address, heartbeat }))
      .filter(({ address }) =>
        address.daemonId !== daemonId &&
        (view?.includes(address.daemonId) ?? true)
      );
  }

  #call<Answer>(
    peer: string,
    answer: (daemon: FleetDaemon) => Answer,
  ): Promise<Answer> {
    this.calls++;
    const daemon = this.daemons.get(peer);
    return new Promise((resolve, reject) => {
      if (daemon === undefined) {
        reject(new Error("Killed"));
        return;
      }
      if (daemon.fault === "silent") return;
      this.timer.registerTimeout(() => {
        if (daemon.fault === "refused") reject(new Error("Refused"));
        else resolve(answer(daemon));
      }, ROUND_TRIP_MILLISECONDS);
    });
  }

  async #settle(promise: Promise<unknown>): Promise<void> {
    let isSettled = false;
    void promise.finally(() => isSettled = true);
    await this.timer.settle();
    while (!isSettled) await this.timer.advance(1);
  }
}
