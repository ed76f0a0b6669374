import type { DaemonAddress, FleetDigest } from "../../fleet/fleet_digest.ts";
import type { PeerChainAnswer } from "../../pieces/chain_redirect.ts";
import type { ChainRequest } from "../../pieces/chain_request.ts";
import type { PeerClient } from "../../fleet/peer_client.ts";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { FleetGossip } from "../../fleet/fleet_gossip.ts";
import { PeerTimeoutError } from "../../fleet/peer_timeout_error.ts";
import { FleetMembership } from "../../fleet/fleet_membership.ts";
import type { PieceCoordinator } from "../../pieces/piece_coordinator.ts";
import { ActiveConfiguration } from "../../configuration/active_configuration.ts";
import { ChainClient } from "../../requests/chain_client.ts";
import { StoreEra } from "../../tables/store_era.ts";
import { configurationOf } from "./configuration_of.ts";

/** Options of a `StartingFleet`. */
export interface StartingFleetOptions {
  readonly count: number;
  readonly seed: number;
  /** Daemons start at random times within this, milliseconds. */
  readonly spreadMilliseconds: number;
  /** Indexes of daemons that stay down. */
  readonly downIndexes?: ReadonlySet<number>;
  /** Whether VMs that are down leave calls unanswered and don't refuse them. */
  readonly isSilentWhileDown?: boolean;
  /** Most time that a daemon needs to read the configuration, milliseconds. */
  readonly configurationMilliseconds?: number;
  /** The store answers from then on; milliseconds since the first start. */
  readonly storeFromMilliseconds?: number;
}

interface StartedDaemon {
  readonly address: DaemonAddress;
  readonly membership: FleetMembership;
  readonly gossip: FleetGossip;
  readonly chains: ChainClient;
  readonly stops: (() => void)[];
}

const START_AT = 1_000;
/** Daemons that the others know from their settings. */
const SEEDS = 3;
const CALL_MILLISECONDS = 4;
/** As of `PeerClient`. */
const CONNECT_TIMEOUT_MILLISECONDS = 500;
/** From a daemon's start until it has read the addresses of the others. */
const ADDRESSES_MILLISECONDS = 20;
/** How often a daemon that is ready gets a request with stages. */
const REQUEST_INTERVAL_MILLISECONDS = 100;
const CHAIN: ChainRequest = {
  attemptId: "a",
  pieceKey: "k",
  stages: [],
  remainingMilliseconds: 5_000,
  objectiveMilliseconds: 1_000,
  kind: "model",
  tailMilliseconds: 100,
  priority: 0,
};

/** Daemons whose addresses the store has, and which all start anew. */
export class StartingFleet {
  readonly timer = new ManualTimer({ startAt: START_AT });
  /** Exchanges received so far, by daemon. */
  readonly received = new Map<string, number>();
  /** The daemon that ran each chain, in order. */
  readonly ran: string[] = [];
  readonly #started = new Map<string, StartedDaemon>();
  readonly #random: SeededRandom;
  readonly #addresses: readonly DaemonAddress[];
  readonly #options: StartingFleetOptions;

  constructor(options: StartingFleetOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.#addresses = Array.from({ length: options.count }, (_, index) => ({
      daemonId: `d${index}`,
      front: `d${index}:1`,
      peer: `d${index}:2`,
      zone: `z${index % 3}`,
      cores: index % 3 === 0 ? 1.35 : 0.3,
    }));
    for (const [index, address] of this.#addresses.entries()) {
      if (options.downIndexes?.has(index) === true) continue;
      const startsAt = this.#random.next() * options.spreadMilliseconds;
      this.timer.registerTimeout(() => this.#start(address), startsAt);
    }
  }

  /** Kills a daemon: it refuses calls, and its VM isn't replaced. */
  kill(daemonId: string): void {
    for (const stop of this.#started.get(daemonId)?.stops ?? []) stop();
    this.#started.delete(daemonId);
  }

  #start(address: DaemonAddress): void {
    const { timer } = this;
    const { daemonId } = address;
    const { configurationMilliseconds = 0, storeFromMilliseconds = 0 } =
      this.#options;
    const storeWait = Math.max(
      0,
      START_AT + storeFromMilliseconds - timer.now(),
    );
    const configuration = new ActiveConfiguration();
    const served = configurationOf([]).table?.configuration;
    const membership = new FleetMembership({
      self: address,
      incarnation: daemonId,
    });
    const random = new SeededRandom(Math.floor(this.#random.next() * 1e9));
    const gossip = new FleetGossip({
      self: address,
      seeds: this.#addresses.slice(0, SEEDS).map(({ peer }) => peer),
      membership,
      peers: this.#createClient(),
      configuration,
      crashes: { checksum: undefined, told: () => {} },
      notices: { checksum: undefined, told: () => {} },
      speeds: { checksum: undefined, told: () => {} },
      slowReports: { page: () => undefined, merge: () => {} },
      era: new StoreEra({ timer, anomalies: { note: () => {} } }),
      timer,
      log: { info: () => {}, warn: () => {} },
      random,
      storeAge: () => 0,
      isIsolated: () => false,
      isLeaving: () => false,
      isReadingTables: () => false,
    });
    const chains = new ChainClient({
      daemonId,
      membership,
      peers: this.#createClient(),
      localCoordinator: {
        run: () => this.#run(daemonId),
      } as unknown as PieceCoordinator,
      timer,
      log: { info: () => {}, warn: () => {} },
      ownState: () => gossip.ownState,
      probe: (peer) => gossip.exchangeWithAll([peer]),
      isDiscovering: () => gossip.isDiscovering,
      recheckCoordinator: () => gossip.recheckCoordinator(),
    });
    const stops = [gossip.register()];
    this.#started.set(daemonId, {
      address,
      membership,
      gossip,
      chains,
      stops,
    });
    timer.registerTimeout(() => {
      const others = this.#addresses.filter((other) => other !== address);
      for (const other of others) membership.add(other, timer.now());
      gossip.discoverCoordinator();
      gossip.exchangeWithSome(others.map(({ peer }) => peer));
    }, storeWait + ADDRESSES_MILLISECONDS);
    gossip.contactSeeds();
    timer.registerTimeout(
      () => {
        if (served !== undefined) configuration.applyIfNewer(served);
        gossip.announceIfReady();
        stops.push(timer.registerInterval(
          () => void chains.run(CHAIN, new AbortController().signal),
          REQUEST_INTERVAL_MILLISECONDS,
        ));
      },
      storeWait + ADDRESSES_MILLISECONDS +
        this.#random.next() * configurationMilliseconds,
    );
  }

  #run(daemonId: string): Promise<PeerChainAnswer> {
    this.ran.push(daemonId);
    return Promise.resolve({ type: "done", results: [] });
  }

  #createClient(): PeerClient {
    const client: Pick<PeerClient, "exchange" | "addresses" | "runChain"> = {
      runChain: async (peer, request, signal) =>
        await await this.#call(
          peer,
          ({ chains }) => chains.runForPeer(request, signal),
        ),
      exchange: (peer, digest) =>
        this.#call(peer, ({ gossip, address }): FleetDigest => {
          const { daemonId } = address;
          this.received.set(daemonId, (this.received.get(daemonId) ?? 0) + 1);
          return gossip.exchange(digest);
        }),
      addresses: (peer) =>
        this.#call(
          peer,
          ({ address, membership }) => [address, ...membership.contacts()],
        ),
    };
    return client as PeerClient;
  }

  /** Calls a daemon; a daemon that isn't up refuses. */
  async #call<Answer>(
    peer: string,
    handle: (daemon: StartedDaemon) => Answer,
  ): Promise<Answer> {
    await this.#delay();
    const daemon = this.#started.get(peer.split(":")[0] ?? "");
    if (daemon === undefined) {
      if (this.#options.isSilentWhileDown === true) {
        await this.#delay(CONNECT_TIMEOUT_MILLISECONDS);
        throw new PeerTimeoutError();
      }
      throw Object.assign(new Error("refused"), { code: "ECONNREFUSED" });
    }
    const answer = handle(daemon);
    await this.#delay();
    return answer;
  }

  #delay(milliseconds = CALL_MILLISECONDS / 2): Promise<void> {
    return new Promise((resolve) => {
      this.timer.registerTimeout(resolve, milliseconds);
    });
  }
}
