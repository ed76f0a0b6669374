import type { Server } from "node:http";
import type { RandomSource, TimerService } from "kelpspar-shared";
import type { DaemonAddress } from "./fleet/fleet_digest.ts";
import type { EndpointChooser } from "./endpoints/endpoint_rate_limiter.ts";
import type { EndpointNotices } from "./endpoints/endpoint_notices.ts";
import type { RequestDecoder } from "./front/front_server.ts";
import type { GatewayLog } from "./log/gateway_log.ts";
import type { PieceClient } from "./pieces/piece_call.ts";
import type { Quarantine } from "./quarantine/quarantine.ts";
import type { QuarantineParts } from "./quarantine/quarantine_parts.ts";
import type { EndpointClient } from "./requests/endpoint_call.ts";
import type { ReadingPaces, ReadingPlan } from "./tables/reading_plan.ts";
import type { SharedTables } from "./tables/shared_tables.ts";
import type { FollowClient } from "./tables/table_follower.ts";
import { createServer } from "node:http";
import { ConfigurationKeeper } from "./configuration/configuration_keeper.ts";
import { EndpointRateLimiter } from "./endpoints/endpoint_rate_limiter.ts";
import { EndpointRegistry } from "./endpoints/endpoint_registry.ts";
import { EndpointLeavings } from "./endpoints/endpoint_leavings.ts";
import { EndpointLimits } from "./endpoints/endpoint_limits.ts";
import { createNoticeListener } from "./endpoints/notice_handlers.ts";
import { NoticeSync } from "./endpoints/notice_sync.ts";
import { FleetGossip } from "./fleet/fleet_gossip.ts";
import { FleetMembership } from "./fleet/fleet_membership.ts";
import {
  PEER_IDLE_TIMEOUT_MILLISECONDS,
  PeerClient,
} from "./fleet/peer_client.ts";
import { createPeerListener } from "./fleet/peer_listener.ts";
import { FrontServer } from "./front/front_server.ts";
import { listen } from "./front/listen.ts";
import { AnomalyLog } from "./log/anomaly_log.ts";
import { GatewayMetrics } from "./metrics/gateway_metrics.ts";
import { PieceCoordinator } from "./pieces/piece_coordinator.ts";
import { ChainClient } from "./requests/chain_client.ts";
import { ExpectedTimes } from "./requests/expected_times.ts";
import { createQuarantineParts } from "./quarantine/quarantine_parts.ts";
import { RequestService } from "./requests/request_service.ts";
import { ServiceRetryBudget } from "./retries/service_retry_budget.ts";
import { planReading } from "./tables/reading_plan.ts";
import { StoreEra } from "./tables/store_era.ts";

/** How often missing entries are looked over, milliseconds. */
const SWEEP_MILLISECONDS = 100;
/** How long a decision on who reads the tables stands, milliseconds. */
const PLAN_MILLISECONDS = 400;
/** Daemons from which on the coordinator of stages takes no callers. */
const MANY_DAEMONS = 12;
/** Most addresses that callers are given. */
const MOST_ADDRESSES = 64;
/** Share of the grace within which a stopping daemon still takes requests. */
const TAKING_SHARE = 0.45;
/** A stopping daemon is gone this long before it would be killed, ms. */
const STOP_MARGIN_MILLISECONDS = 350;
/** How often a stopping daemon looks whether it is done, milliseconds. */
const STOP_CHECK_MILLISECONDS = 50;

/** What a daemon is started with; the platform registers its ports here. */
export interface GatewayDaemonOptions {
  readonly self: DaemonAddress;
  /** New with each start. */
  readonly incarnation: string;
  readonly seeds: readonly string[];
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: GatewayLog;
  readonly decode: RequestDecoder;
  readonly endpoints: EndpointClient;
  readonly pieces: PieceClient;
  /** What endpoints say of themselves in answers to both clients. */
  readonly notices: EndpointNotices;
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly retryWindowMilliseconds: number;
  /** Time from the order to stop until the process is killed. */
  readonly graceMilliseconds: number;
}

/** One daemon: callers on one side, endpoints and other daemons on the other. */
export class GatewayDaemon {
  readonly configuration = new ConfigurationKeeper();
  readonly book = new EndpointRegistry();
  readonly limits = new EndpointLimits();
  readonly metrics = new GatewayMetrics();
  readonly anomalies: AnomalyLog;
  readonly era: StoreEra;
  /** Asks other daemons for what they know of the store's tables. */
  readonly followClient: FollowClient;
  readonly quarantine: Quarantine;
  readonly #options: GatewayDaemonOptions;
  readonly #crashes: QuarantineParts;
  readonly #membership: FleetMembership;
  readonly #fleet: FleetGossip;
  readonly #front: FrontServer;
  readonly #service: RequestService;
  readonly #coordinator: PieceCoordinator;
  readonly #chains: ChainClient;
  readonly #peerServer: Server;
  #storeHeardAt = Number.NEGATIVE_INFINITY;
  /** Ends the watch over missing entries. */
  #stopWatch: (() => void) | undefined;
  #tables: Pick<SharedTables, "answer"> | undefined;
  #plan: ReadingPlan | undefined;
  #plannedAt = Number.NEGATIVE_INFINITY;

  constructor(options: GatewayDaemonOptions) {
    this.#options = options;
    const { self, timer, log } = options;
    this.anomalies = new AnomalyLog(log, this.metrics);
    this.era = new StoreEra({ timer, anomalies: this.anomalies });
    const { configuration, book, limits, era } = this;
    const storeAge = (): number =>
      Math.min(timer.now() - this.#storeHeardAt, Number.MAX_SAFE_INTEGER);
    const membership = new FleetMembership(options);
    const peers = new PeerClient(timer);
    this.followClient = peers;
    const budget = new ServiceRetryBudget({
      ratio: options.retryRatio,
      slack: options.retrySlack,
      windowMilliseconds: options.retryWindowMilliseconds,
    });
    const crashes = createQuarantineParts({ ...options, peers, membership });
    const leavings = new EndpointLeavings();
    const noticeSync = new NoticeSync({
      ...options,
      limits,
      leavings,
      peers,
      membership,
    });
    const fleet = new FleetGossip({
      daemonId: self.daemonId,
      membership,
      peers,
      configuration,
      era,
      crashes: crashes.sync,
      notices: noticeSync,
      timer,
      log,
      random: options.random,
      storeAge,
    });
    const sharers: Readonly<Record<EndpointChooser, () => number>> = {
      // One that others ask while it doesn't take itself for the coordinator
      // shares with all that may be in the same place.
      coordinator: () =>
        this.#chains.coordinator === self.daemonId ? 1 : membership.size + 1,
      daemon: () => membership.size + 1,
    };
    const gate = (chooser: EndpointChooser): EndpointRateLimiter =>
      new EndpointRateLimiter({
        chooser,
        configuration,
        limits,
        random: options.random,
        sharers: () => sharers[chooser](),
      });
    const coordinator = new PieceCoordinator({
      configuration,
      book,
      gate: gate("coordinator"),
      client: options.pieces,
      timer,
      budget,
      log,
    });
    const chains = new ChainClient({
      daemonId: self.daemonId,
      membership,
      peers,
      local: coordinator,
      timer,
      log,
      ownState: () => fleet.ownState,
      probe: (peer) => fleet.exchangeWithAll([peer]),
    });
    const service = new RequestService({
      configuration,
      book,
      endpoints: options.endpoints,
      gate: gate("daemon"),
      chains,
      budget,
      crashes: crashes.watch,
      quarantine: crashes.quarantine,
      times: new ExpectedTimes(),
      timer,
      random: options.random,
      log,
      metrics: this.metrics,
      zone: self.zone,
      sharers: () => this.fleetSize(),
    });
    this.quarantine = crashes.quarantine;
    this.#crashes = crashes;
    this.#membership = membership;
    this.#fleet = fleet;
    this.#service = service;
    this.#coordinator = coordinator;
    this.#chains = chains;
    this.#front = new FrontServer({
      decode: options.decode,
      serve: (request, reply) => service.serve(request, reply),
    });
    this.#peerServer = createServer(createPeerListener({
      exchange: (digest) => fleet.exchange(digest),
      addresses: () => [self, ...membership.contacts()],
      configuration: () => configuration.table?.configuration,
      follow: (request, signal) => {
        if (this.#tables !== undefined) {
          return this.#tables.answer(request, signal);
        }
        throw new Error("The store's tables aren't followed here yet");
      },
      shareCrashes: (page) => crashes.sync.answer(page),
      shareNotices: (page) => noticeSync.answer(page),
      runChain: (request, signal) => coordinator.run(request, signal),
      release: (release) => coordinator.release(release),
    }));
    this.#peerServer.keepAliveTimeout = PEER_IDLE_TIMEOUT_MILLISECONDS;
    coordinator.register();
    options.notices.registerListener(
      createNoticeListener({
        ...options,
        registry: book,
        limits,
        leavings,
        anomalies: this.anomalies,
        onChange: () => noticeSync.shareLocalNotice(),
      }),
    );
  }

  /** Listens for callers and other daemons, and greets those it knows of. */
  async start(): Promise<void> {
    const { self, seeds } = this.#options;
    this.configuration.registerListener((table) => {
      this.#front.limits = table.configuration.limits;
    });
    this.book.registerMissing(() => this.#watchMissing());
    this.#crashes.register();
    await listen(this.#peerServer, self.peer);
    await this.#front.listen(self.front);
    this.#fleet.register();
    this.greet(seeds);
  }

  /** Looks over missing entries until none is left. */
  #watchMissing(): void {
    if (this.#stopWatch !== undefined) return;
    const { timer, log } = this.#options;
    this.#stopWatch = timer.registerInterval(() => {
      for (const endpoint of this.book.removeExpired(timer.now())) {
        log.info("endpoint given up", { endpoint });
      }
      if (this.book.hasMissing) return;
      this.#stopWatch?.();
      this.#stopWatch = undefined;
    }, SWEEP_MILLISECONDS);
  }

  /** Takes in where other daemons may be. */
  learnDaemons(addresses: readonly DaemonAddress[]): void {
    const { timer, self } = this.#options;
    const others = addresses.filter((one) => one.daemonId !== self.daemonId);
    for (const address of others) this.#membership.add(address, timer.now());
    this.#fleet.exchangeWithSome(others.map(({ peer }) => peer));
  }

  /** Exchanges digests with daemons that may be at `peers`. */
  greet(peers: readonly string[]): void {
    const { self } = this.#options;
    this.#fleet.exchangeWithAll(peers.filter((peer) => peer !== self.peer));
  }

  /** Says that the list of endpoints was as the store has it at `at`. */
  storeHeard(at: number): void {
    this.#storeHeardAt = Math.max(this.#storeHeardAt, at);
  }

  /** Passes the store's tables on to other daemons; returns the teardown. */
  registerTables(tables: Pick<SharedTables, "answer">): () => void {
    this.#tables = tables;
    return () => {
      if (this.#tables === tables) this.#tables = undefined;
    };
  }

  /** Whether this daemon reads the store's tables, and whom it may follow. */
  readingPlan(paces: ReadingPaces | undefined): ReadingPlan {
    const { self, timer } = this.#options;
    const now = timer.now();
    if (
      this.#plan === undefined || now - this.#plannedAt > PLAN_MILLISECONDS
    ) {
      const others = this.#membership.readerCandidates(now);
      this.#plan = planReading({ self, others, paces });
      this.#plannedAt = now;
    }
    return this.#plan;
  }

  /** Daemons that are heard, this one among them. */
  fleetSize(): number {
    return this.#membership.liveMembers(this.#options.timer.now()).length + 1;
  }

  /** True while callers may be sent here. */
  get isReady(): boolean {
    return this.configuration.table !== undefined && !this.#fleet.isLeaving;
  }

  /** Where callers may connect; never empty. */
  callerAddresses(): readonly string[] {
    const { self, timer, random } = this.#options;
    const others = this.#membership.serving(timer.now());
    const own = this.isReady || others.length === 0 ? [self] : [];
    const all = [...own, ...others];
    // Among many the one that runs the stages for all takes no callers: their
    // streams would wait behind its calls.
    const busy = all.length >= MANY_DAEMONS
      ? this.#chains.coordinator
      : undefined;
    const free = all.filter((one) => one.daemonId !== busy);
    // Turned by chance, so that beyond the most of an answer each has a part.
    const first = random.nextInteger(Math.max(1, free.length));
    return [...free.slice(first), ...free.slice(0, first)]
      .slice(0, MOST_ADDRESSES)
      .map(({ front }) => front);
  }

  /** State for the metrics page. */
  recordState(): void {
    const { metrics } = this;
    metrics.setState("configuration_version", this.configuration.version);
    metrics.setState("endpoints", this.book.size);
    metrics.setState("evacuated_zones", this.book.evacuatedZones.size);
    metrics.setState("limited_endpoints", this.limits.size);
    metrics.setState("daemons", this.fleetSize());
    metrics.setState("quarantined_requests", this.quarantine.size);
    metrics.setState("store_era", this.era.current ?? 0);
    metrics.setState("reads_store", this.#plan?.isReader === true ? 1 : 0);
    metrics.setState("open_requests", this.#service.open);
  }

  /**
   * Stops without cutting anything: callers go elsewhere, those that come with
   * an old answer are still served, and the process ends when nothing is left
   * or just before it would be killed.
   */
  async stop(): Promise<void> {
    const { timer, graceMilliseconds } = this.#options;
    const startedAt = timer.now();
    this.#fleet.announceLeaving();
    this.#front.leave();
    const takingUntil = startedAt + graceMilliseconds * TAKING_SHARE;
    const endsAt = startedAt + graceMilliseconds - STOP_MARGIN_MILLISECONDS;
    let isListening = true;
    await new Promise<void>((resolve) => {
      const stopChecks = timer.registerInterval(() => {
        const now = timer.now();
        if (isListening && now >= takingUntil) {
          isListening = false;
          this.#front.stopListening();
        }
        const isDone = !isListening && this.#service.open === 0 &&
          this.#coordinator.openChains === 0;
        if (!isDone && now < endsAt) return;
        stopChecks();
        this.#service.endOpen();
        resolve();
      }, STOP_CHECK_MILLISECONDS);
    });
  }
}
