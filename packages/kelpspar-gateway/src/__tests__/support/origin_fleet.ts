import type { DaemonAddress } from "../../fleet/fleet_digest.ts";
import type { BegunStream } from "../../streams/stream_origin.ts";
import type {
  FindOptions,
  OriginLookup,
} from "../../streams/stream_origins.ts";
import { ManualTimer } from "kelpspar-shared";
import { EndpointRegistry } from "../../endpoints/endpoint_registry.ts";
import { StreamOrigins } from "../../streams/stream_origins.ts";

/** Service of the endpoints. */
export const SERVICE = "model";
const SERVICES = [SERVICE];
const DEADLINE_MILLISECONDS = 15_000;
/** Round trip between two daemons. */
const ROUND_TRIP_MILLISECONDS = 2;

/** How a daemon answers others: not any more, or not at all. */
export type DaemonFault = "none" | "refused" | "silent";

interface FleetDaemon {
  readonly address: DaemonAddress;
  readonly registry: EndpointRegistry;
  readonly origins: StreamOrigins;
  fault: DaemonFault;
  /** Members that it lists; all that are in the fleet by default. */
  view: readonly string[] | undefined;
}

/** Daemons that begin streams and take them up, on one manual clock. */
export class OriginFleet {
  readonly timer = new ManualTimer();
  readonly daemons = new Map<string, FleetDaemon>();
  /** Calls between daemons. */
  calls = 0;

  /** Adds a daemon that lists one endpoint of each version. */
  add(daemonId: string, zone: string, versions: readonly string[]): void {
    const { timer } = this;
    const registry = new EndpointRegistry();
    const address = { daemonId, zone, peer: daemonId, front: "", cores: 1 };
    const origins = new StreamOrigins({
      registry,
      timer,
      log: { info: () => {}, warn: () => {} },
      membership: { liveMembers: () => this.#membersSeenBy(daemonId) },
      peers: {
        tellStreams: (peer, streams) =>
          this.#call(peer, (daemon) => {
            daemon.origins.hold(streams);
            return null;
          }),
        askOrigin: (peer, options) =>
          this.#call(peer, (daemon) => daemon.origins.answer(options)),
      },
    });
    origins.register();
    const fault = "none";
    const daemon = { address, registry, origins, fault, view: undefined };
    this.daemons.set(daemonId, daemon as FleetDaemon);
    for (const version of versions) this.list(daemonId, version);
  }

  /** Lists an endpoint of this version at one daemon. */
  list(daemonId: string, version: string): void {
    this.#daemon(daemonId).registry.upsert({
      id: `endpoint-${version}`,
      bornAt: 0,
      service: SERVICE,
      address: "10.0.0.1:80",
      zone: "a",
      version,
      slots: 4,
      isDraining: false,
    }, this.timer.now());
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

  setView(daemonId: string, view: readonly string[]): void {
    this.#daemon(daemonId).view = view;
  }

  /** Begins a stream; returns how long its first event waited, milliseconds. */
  async begin(
    daemonId: string,
    stream: { readonly attemptId: string; readonly version: string },
  ): Promise<number> {
    const begun: BegunStream = {
      service: SERVICE,
      remainingMilliseconds: DEADLINE_MILLISECONDS,
      sends: 1,
      ...stream,
    };
    const startedAt = this.timer.now();
    let endedAt = startedAt;
    await this.#settle(
      this.#daemon(daemonId).origins.begin({
        stream: begun,
        services: SERVICES,
      }).then(() => endedAt = this.timer.now()),
    );
    return endedAt - startedAt;
  }

  /** Takes a stream up; also returns the time that it took, milliseconds. */
  async find(
    daemonId: string,
    attemptId: string,
  ): Promise<OriginLookup & { readonly tookMilliseconds: number }> {
    const options: FindOptions = { attemptId, services: SERVICES };
    const startedAt = this.timer.now();
    let endedAt = startedAt;
    const lookup = this.#daemon(daemonId).origins.find(options);
    await this.#settle(lookup.then(() => endedAt = this.timer.now()));
    return { ...await lookup, tookMilliseconds: endedAt - startedAt };
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
    const { view } = this.#daemon(daemonId);
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
    const daemon = this.#daemon(peer);
    return new Promise((resolve, reject) => {
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
