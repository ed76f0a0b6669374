import type { Server } from "node:http";
import type { RandomSource, TimerService } from "kelpspar-shared";
import type { DaemonAddress } from "./fleet/fleet_digest.ts";
import type { EndpointChooser } from "./endpoints/endpoint_rate_limiter.ts";
import type { EndpointNotices } from "./endpoints/endpoint_notices.ts";
import type { RequestDecoder } from "./front/front_server.ts";
import type {
  CallerAddresses,
  LeavingDaemon,
} from "./front/choose_caller_addresses.ts";
import type { MalformedAnswers } from "./exchange/malformed_answers.ts";
import type { ConnectionAttempts } from "./isolation/connection_attempts.ts";
import type { DaemonPhase } from "./lifecycle/daemon_phase.ts";
import type { GatewayLog } from "./log/gateway_log.ts";
import type { PieceClient } from "./pieces/piece_call.ts";
import type { OtherDaemons } from "./requests/request_dependencies.ts";
import type { Quarantine } from "./quarantine/quarantine.ts";
import type { QuarantineParts } from "./quarantine/quarantine_parts.ts";
import type { EndpointClient } from "./requests/endpoint_call.ts";
import type { PollIntervals, ReadingPlan } from "./tables/reading_plan.ts";
import type { RowRangeStore } from "./tables/row_range_store.ts";
import type { RowStore } from "./tables/row_store.ts";
import type { SharedTables } from "./tables/shared_tables.ts";
import type { FollowClient } from "./tables/table_follower.ts";
import { CallerBudget, PROCESS_READ_BUDGET, shareMemory } from "kelpspar-http";
import { ActiveConfiguration } from "./configuration/active_configuration.ts";
import { BrittleServices } from "./endpoints/brittle_services.ts";
import { ConcurrencyLimiter } from "./endpoints/concurrency_limiter.ts";
import { EndpointRateLimiter } from "./endpoints/endpoint_rate_limiter.ts";
import { EndpointRegistry } from "./endpoints/endpoint_registry.ts";
import { EndpointLeavings } from "./endpoints/endpoint_leavings.ts";
import { EndpointLimits } from "./endpoints/endpoint_limits.ts";
import { registerMissingEntrySweep } from "./endpoints/missing_entry_sweep.ts";
import { createNoticeListener } from "./endpoints/notice_handlers.ts";
import { NoticeSync } from "./endpoints/notice_sync.ts";
import { FleetGossip } from "./fleet/fleet_gossip.ts";
import { FleetMembership } from "./fleet/fleet_membership.ts";
import {
  PEER_IDLE_TIMEOUT_MILLISECONDS,
  PeerClient,
} from "./fleet/peer_client.ts";
import { createPeerListener } from "./fleet/peer_listener.ts";
import { ConnectionShares } from "./front/connections/connection_shares.ts";
import { DEFAULT_MAXIMUM_DESCRIPTORS } from "./front/connections/divide_descriptors.ts";
import { chooseCallerAddresses } from "./front/choose_caller_addresses.ts";
import { CallerCutLog } from "./front/caller_cut_log.ts";
import { createTimedServer } from "./front/create_timed_server.ts";
import { FrontServer } from "./front/front_server.ts";
import { listen } from "./front/listen.ts";
import { OpenExchanges } from "./front/open_exchanges.ts";
import { IsolationMonitor } from "./isolation/isolation_monitor.ts";
import { AnswerTimesSync } from "./lifecycle/answer_times_sync.ts";
import { DaemonLifecycle } from "./lifecycle/daemon_lifecycle.ts";
import { KnownAnswerTimes } from "./lifecycle/known_answer_times.ts";
import { waitUntil } from "./lifecycle/wait_until.ts";
import { LoopDelay } from "./load/loop_delay.ts";
import { ProcessMonitor } from "./load/process_monitor.ts";
import { SlowReportExchange } from "./load/slow_report_exchange.ts";
import { SpeedSync } from "./load/speed_sync.ts";
import { AnomalyLog } from "./log/anomaly_log.ts";
import { GatewayMetrics } from "./metrics/gateway_metrics.ts";
import { PieceCoordinator } from "./pieces/piece_coordinator.ts";
import { PeerRelay } from "./relay/peer_relay.ts";
import { createRelayListener } from "./relay/relay_listener.ts";
import { ChainClient } from "./requests/chain_client.ts";
import { FirstByteEstimates } from "./requests/first_byte_estimates.ts";
import { createQuarantineParts } from "./quarantine/quarantine_parts.ts";
import { createMalformedAnswerListener } from "./exchange/create_malformed_answer_listener.ts";
import { RequestService } from "./requests/request_service.ts";
import { createRetryParts } from "./retries/create_retry_parts.ts";
import { StreamOrigins } from "./streams/stream_origins.ts";
import { planReading } from "./tables/reading_plan.ts";
import { StoreEra } from "./tables/store_era.ts";

/** Time for the last answers to be handed to the operating system. */
const FLUSH_TIMEOUT_MILLISECONDS = 100;
/** How long a reading plan is cached, milliseconds. */
const PLAN_CACHE_MILLISECONDS = 400;

/** Options of `GatewayDaemon`; the platform supplies its adapters here. */
export interface GatewayDaemonOptions {
  readonly self: DaemonAddress;
  /** Unique for each start. */
  readonly incarnation: string;
  readonly seeds: readonly string[];
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: GatewayLog;
  readonly decode: RequestDecoder;
  readonly endpoints: EndpointClient;
  readonly pieces: PieceClient;
  /** Notices that endpoints send in answers to both clients. */
  readonly notices: EndpointNotices;
  /** Connection attempts of both clients. */
  readonly attempts: ConnectionAttempts;
  /** Malformed answers of endpoints, the store and other daemons. */
  readonly malformedAnswers: MalformedAnswers;
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly retryWindowMilliseconds: number;
  /** Time from the stop signal until the process is killed. */
  readonly graceMilliseconds: number;
  /** Memory that the process may use; default without a bound. */
  readonly memoryBytes?: number;
  /** Processor time that this process has used, milliseconds. */
  readonly processorMilliseconds: () => number;
  /** Descriptors that this process may have open; default 4,100. */
  readonly maximumDescriptors?: number;
}

/** A daemon between callers on one side, endpoints and peers on the other. */
export class GatewayDaemon {
  readonly configuration = new ActiveConfiguration();
  readonly registry = new EndpointRegistry();
  readonly limits = new EndpointLimits();
  readonly brittle = new BrittleServices();
  readonly metrics = new GatewayMetrics();
  readonly anomalies: AnomalyLog;
  readonly era: StoreEra;
  /** Fetches the store's tables from other daemons. */
  readonly followClient: FollowClient;
  readonly quarantine: Quarantine;
  /** Shares of the listeners in the descriptors of the process. */
  readonly connectionShares: ConnectionShares;
  readonly #options: GatewayDaemonOptions;
  readonly #quarantineParts: QuarantineParts;
  readonly #membership: FleetMembership;
  readonly #fleet: FleetGossip;
  readonly #front: FrontServer;
  readonly #requestService: RequestService;
  readonly #coordinator: PieceCoordinator;
  readonly #chainClient: ChainClient;
  readonly #peerServer: Server;
  readonly #callerBudget: CallerBudget;
  readonly #isolation: IsolationMonitor;
  readonly #relay: PeerRelay;
  readonly #streamOrigins: StreamOrigins;
  readonly #lifecycle: DaemonLifecycle;
  readonly #exchanges = new OpenExchanges();
  readonly #answerTimes: KnownAnswerTimes;
  readonly #answerTimesSync: AnswerTimesSync;
  #acceptedConnections = 0;
  #tablesConfirmedAt = Number.NEGATIVE_INFINITY;
  #rowStore: RowStore & RowRangeStore | undefined;
  #tables: Pick<SharedTables, "answer" | "isReadingFirst"> | undefined;
  #plan: ReadingPlan | undefined;
  #plannedAt = Number.NEGATIVE_INFINITY;

  constructor(options: GatewayDaemonOptions) {
    this.#options = options;
    const { self, timer, log } = options;
    this.anomalies = new AnomalyLog(log, this.metrics);
    this.era = new StoreEra({ timer, anomalies: this.anomalies });
    const { callerBytes, answerBytes } = shareMemory(
      options.memoryBytes ?? Number.POSITIVE_INFINITY,
    );
    PROCESS_READ_BUDGET.maximumBytes = answerBytes;
    const cutLog = new CallerCutLog({ ...options, metrics: this.metrics });
    const budget = new CallerBudget({
      timer,
      maximumBytes: callerBytes,
      onCut: (cut) => cutLog.record(cut),
    });
    this.#callerBudget = budget;
    this.connectionShares = new ConnectionShares({
      ...options,
      metrics: this.metrics,
      maximumDescriptors: options.maximumDescriptors ??
        DEFAULT_MAXIMUM_DESCRIPTORS,
    });
    const { configuration, registry, limits, era } = this;
    const storeAge = (): number =>
      Math.min(timer.now() - this.#tablesConfirmedAt, Number.MAX_SAFE_INTEGER);
    this.#answerTimes = new KnownAnswerTimes(timer);
    const lifecycle = new DaemonLifecycle(options);
    this.#lifecycle = lifecycle;
    const isolation = new IsolationMonitor({ ...options, registry });
    this.#isolation = isolation;
    const membership = new FleetMembership(options);
    const peers = new PeerClient(options);
    this.followClient = peers;
    const crashes = createQuarantineParts({
      ...options,
      metrics: this.metrics,
      isolation,
      peers,
      membership,
    });
    const leavings = new EndpointLeavings();
    const noticeSync = new NoticeSync({
      ...options,
      limits,
      leavings,
      peers,
      membership,
    });
    const speedSync = new SpeedSync({
      ...options,
      registry,
      peers,
      membership,
    });
    this.#answerTimesSync = new AnswerTimesSync({
      ...options,
      answerTimes: this.#answerTimes,
      peers,
      membership,
    });
    const fleet = new FleetGossip({
      self,
      seeds: options.seeds,
      membership,
      peers,
      configuration,
      era,
      crashes: crashes.sync,
      notices: noticeSync,
      speeds: speedSync,
      slowReports: new SlowReportExchange({ registry, timer }),
      timer,
      log,
      random: options.random,
      storeAge,
      isReadingTables: () => this.#tables?.isReadingFirst === true,
      isIsolated: () => isolation.isIsolated,
      isLeaving: () => lifecycle.policy.isLeaving,
    });
    const senderCounts: Readonly<Record<EndpointChooser, () => number>> = {
      // A daemon that receives pieces without seeing itself as the coordinator
      // shares the endpoints with all daemons that may be in the same position.
      coordinator: () =>
        this.#chainClient.coordinator === self.daemonId
          ? 1
          : membership.size + 1,
      daemon: () => membership.size + 1,
    };
    const createRateLimiter = (chooser: EndpointChooser): EndpointRateLimiter =>
      new EndpointRateLimiter({
        chooser,
        configuration,
        limits,
        random: options.random,
        senderCount: () => senderCounts[chooser](),
      });
    const retries = createRetryParts({
      ...options,
      limits: {
        ratio: options.retryRatio,
        slack: options.retrySlack,
        windowMilliseconds: options.retryWindowMilliseconds,
      },
      membership,
      peers,
      era,
      metrics: this.metrics,
      store: () => this.#rowStore,
      lender: () => {
        const id = chains.coordinator;
        return id === self.daemonId ? self : membership.findAddress(id ?? "");
      },
    });
    const coordinator = new PieceCoordinator({
      configuration,
      registry,
      rateLimiter: createRateLimiter("coordinator"),
      client: options.pieces,
      timer,
      retryGate: retries.gate,
      isIsolated: () => isolation.isIsolated,
      loopDelay: new LoopDelay(timer),
      freeElsewhere: (results) => chains.releaseElsewhere(results),
      log,
    });
    const chains = new ChainClient({
      daemonId: self.daemonId,
      membership,
      peers,
      localCoordinator: coordinator,
      timer,
      log,
      ownState: () => fleet.ownState,
      probe: (peer) => fleet.exchangeWithAll([peer]),
      isDiscovering: () => fleet.isDiscovering,
      recheckCoordinator: () => fleet.recheckCoordinator(),
    });
    const relay = new PeerRelay({
      ...options,
      isolation,
      membership,
      coordinator: () => chains.coordinator,
      budget,
    });
    this.#relay = relay;
    const concurrency = new ConcurrencyLimiter({
      ...options,
      configuration,
      registry,
      brittle: this.brittle,
      daemonId: self.daemonId,
      senders: () => [
        self.daemonId,
        ...membership.liveMembers(timer.now())
          .filter(({ heartbeat }) => !heartbeat.isIsolated)
          .map(({ address }) => address.daemonId),
      ],
    });
    const streamOrigins = new StreamOrigins({
      ...options,
      registry,
      configuration,
      peers,
      membership,
      listConfirmedAt: () => this.#tablesConfirmedAt,
      store: () => this.#rowStore,
      era,
    });
    const service = new RequestService({
      relay,
      streamOrigins,
      concurrency,
      configuration,
      endpointRegistry: registry,
      endpoints: options.endpoints,
      rateLimiter: createRateLimiter("daemon"),
      chainRunner: chains,
      retryGate: retries.gate,
      crashes: crashes.detector,
      quarantine: crashes.quarantine,
      firstByteEstimates: new FirstByteEstimates(),
      malformedAnswers: options.malformedAnswers,
      lifecycle,
      answerTimes: this.#answerTimes.fromArrival,
      sendTimes: this.#answerTimes.fromSend,
      others: () => this.#otherDaemons(),
      timer,
      random: options.random,
      log,
      metrics: this.metrics,
      zone: self.zone,
    });
    this.#streamOrigins = streamOrigins;
    this.quarantine = crashes.quarantine;
    this.#quarantineParts = crashes;
    this.#membership = membership;
    this.#fleet = fleet;
    this.#requestService = service;
    this.#coordinator = coordinator;
    this.#chainClient = chains;
    this.#front = new FrontServer({
      decode: options.decode,
      isLeaving: () => lifecycle.policy.isLeaving,
      exchanges: this.#exchanges,
      budget,
      serve: (request, reply) => service.serve(request, reply),
      connectionShares: this.connectionShares,
    });
    const peerListener = createPeerListener({
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
      answerTimes: () => this.#answerTimes.fromArrival.page(),
      sendTimes: () => this.#answerTimes.fromSend.page(),
      shareSpeeds: (page) => speedSync.answer(page),
      runChain: (request, signal) => chains.runForPeer(request, signal),
      release: (release) => coordinator.release(release),
      lendRetries: (service, count) => retries.lender.lend(service, count),
      holdStreams: (streams) => streamOrigins.hold(streams),
      recordStreams: (streams) => streamOrigins.record(streams),
      findRecorded: (attemptId) => streamOrigins.findRecorded(attemptId),
      answerOrigin: (question) => streamOrigins.answer(question),
    }, budget);
    this.#peerServer = createTimedServer(
      createRelayListener({
        serve: (message, reply) => service.serveRelayed(message, reply),
        isAble: ({ configurationVersion }) =>
          !isolation.isIsolated && !lifecycle.policy.isLeaving &&
          configuration.version >= configurationVersion,
        exchanges: this.#exchanges,
        budget,
        otherwise: peerListener,
      }),
      { idleMilliseconds: PEER_IDLE_TIMEOUT_MILLISECONDS },
    );
    this.connectionShares.limit("control", this.#peerServer);
    this.#peerServer.on("connection", () => this.#acceptedConnections++);
    coordinator.register();
    chains.registerCoordinatorChange(() => service.releaseRetainedResults());
    streamOrigins.register();
    isolation.registerListener((isIsolated) => {
      fleet.announceState();
      if (isIsolated) coordinator.abandonChains();
      else registry.forgetFailures();
    });
    options.malformedAnswers.registerListener(
      createMalformedAnswerListener({
        ...options,
        registry,
        metrics: this.metrics,
      }),
    );
    options.notices.registerListener(
      createNoticeListener({
        ...options,
        registry,
        limits,
        leavings,
        brittle: this.brittle,
        anomalies: this.anomalies,
        onChange: () => noticeSync.shareLocalNotice(),
      }),
    );
  }

  /** Listens for callers and peers, and contacts the seed daemons. */
  async start(): Promise<void> {
    const { self } = this.#options;
    this.configuration.registerListener((table) => {
      this.#front.limits = table.configuration.limits;
      this.#fleet.announceIfReady();
    });
    registerMissingEntrySweep({ ...this.#options, registry: this.registry });
    this.#quarantineParts.register();
    this.#isolation.register();
    new ProcessMonitor({
      ...this.#options,
      cores: self.cores,
      metrics: this.metrics,
      acceptedConnections: () => this.#acceptedConnections,
    }).register();
    await listen(this.#peerServer, self.peer);
    await this.#front.listen(self.front);
    this.#fleet.register();
    this.#answerTimesSync.register();
    this.#fleet.contactSeeds();
  }

  /** Adds addresses at which other daemons may run. */
  addDaemons(addresses: readonly DaemonAddress[]): void {
    const { timer, self } = this.#options;
    const others = addresses.filter((address) =>
      address.daemonId !== self.daemonId
    );
    for (const address of others) this.#membership.add(address, timer.now());
    this.#fleet.discoverCoordinator();
    this.#fleet.exchangeWithSome(others.map(({ peer }) => peer));
  }

  /** Exchanges digests with daemons that may run at `peers`. */
  exchangeWithAll(peers: readonly string[]): void {
    const { self } = this.#options;
    this.#fleet.exchangeWithAll(peers.filter((peer) => peer !== self.peer));
  }

  /** Sets the store that keeps what outlives all daemons. */
  registerRowStore(store: RowStore & RowRangeStore): () => void {
    this.#rowStore = store;
    return () => {
      if (this.#rowStore === store) this.#rowStore = undefined;
    };
  }

  /** Records that the endpoint list matched the store at `at`. */
  confirmTables(at: number): void {
    this.#tablesConfirmedAt = Math.max(this.#tablesConfirmedAt, at);
    this.#fleet.announceIfReady();
  }

  /** Relays the store's tables to other daemons; returns the teardown. */
  registerTables(
    tables: Pick<SharedTables, "answer" | "isReadingFirst">,
  ): () => void {
    this.#tables = tables;
    return () => {
      if (this.#tables === tables) this.#tables = undefined;
    };
  }

  /** Whether this daemon reads the tables, and which daemons it may follow. */
  readingPlan(intervals: PollIntervals | undefined): ReadingPlan {
    const { self, timer } = this.#options;
    const now = timer.now();
    if (
      this.#plan === undefined ||
      now - this.#plannedAt > PLAN_CACHE_MILLISECONDS
    ) {
      const others = this.#membership.readerCandidates(now);
      this.#plan = planReading({ self, others, intervals });
      this.#plannedAt = now;
    }
    return this.#plan;
  }

  /** Number of live daemons, including this one. */
  fleetSize(): number {
    return this.#membership.liveMembers(this.#options.timer.now()).length + 1;
  }

  /** True while callers may be routed to this daemon. */
  get isReady(): boolean {
    return this.configuration.table !== undefined &&
      this.#lifecycle.policy.isReady;
  }

  /** Addresses at which callers may connect. */
  callerAddresses(): CallerAddresses {
    const { self, timer, random } = this.#options;
    const { policy, remainingMilliseconds } = this.#lifecycle;
    const isOwnLeaving = policy.isLeaving && policy.isListening &&
      this.configuration.table !== undefined;
    return chooseCallerAddresses({
      self,
      isReady: this.isReady,
      others: this.#membership.serving(timer.now()),
      leaving: [
        ...(isOwnLeaving
          ? [{ address: self, endsIn: remainingMilliseconds }]
          : []),
        ...this.#otherLeaving(),
      ],
      coordinator: this.#chainClient.coordinator,
      isIsolated: (daemonId) =>
        daemonId === self.daemonId
          ? this.#isolation.isIsolated
          : this.#membership.isIsolated(daemonId),
      random,
    });
  }

  /** Other daemons that leave. */
  #otherLeaving(): readonly LeavingDaemon[] {
    const now = this.#options.timer.now();
    return this.#membership.leaving(now).map(({ address, since }) => ({
      address,
      endsIn: this.#lifecycle.remainingAfterStop(since),
    }));
  }

  #otherDaemons(): OtherDaemons {
    const now = this.#options.timer.now();
    return {
      isOtherServing: this.#membership.serving(now).length > 0,
      isOtherStarting: this.#membership.hasStarting(now),
      othersEndIn: this.#otherLeaving().map(({ endsIn }) => endsIn),
    };
  }

  /** Updates the state gauges of the metrics page. */
  recordState(): void {
    const { metrics } = this;
    metrics.setState("configuration_version", this.configuration.version);
    metrics.setState("endpoints", this.registry.size);
    metrics.setState(
      "endpoints_of_unknown_services",
      this.#countEndpointsOfUnknownServices(),
    );
    metrics.setState("remembered_streams", this.#streamOrigins.size);
    metrics.setState("isolated", this.#isolation.isIsolated ? 1 : 0);
    metrics.setState("evacuated_zones", this.registry.evacuatedZones.size);
    metrics.setState("limited_endpoints", this.limits.size);
    metrics.setState("load_reports", this.registry.loads.reports);
    metrics.setState("load_services", this.registry.loads.active.length);
    metrics.setState("learned_speeds", this.registry.speeds.size);
    metrics.setState("daemons", this.fleetSize());
    metrics.setState("quarantined_requests", this.quarantine.size);
    metrics.setState("quarantined_parts", this.quarantine.partsSize);
    metrics.setState("store_era", this.era.current ?? 0);
    metrics.setState("reads_store", this.#plan?.isReader === true ? 1 : 0);
    metrics.setState("open_requests", this.#requestService.open);
    metrics.setState("caller_held_bytes", this.#callerBudget.bytes);
    metrics.setState("answer_held_bytes", PROCESS_READ_BUDGET.bytes);
    metrics.setState("open_exchanges", this.#exchanges.count);
    for (const [name, open] of this.connectionShares.openConnections()) {
      metrics.setConnections(name, open);
    }
    const { coordinatorChanges, redirectedChains } = this.#chainClient.counts;
    metrics.setState("coordinator_changes", coordinatorChanges);
    metrics.setState("redirected_chains", redirectedChains);
    metrics.setState("relayed_requests", this.#relay.sent);
    metrics.setState("discovery_contacts", this.#fleet.discoveryContacts);
  }

  /** Listed endpoints that no route leads to; 0 without a configuration. */
  #countEndpointsOfUnknownServices(): number {
    const { table } = this.configuration;
    if (table === undefined) return 0;
    return this.registry.ids.filter((id) => {
      const service = this.registry.find(id)?.entry.service;
      return service !== undefined && !table.hasService(service);
    }).length;
  }

  /**
   * Stops gracefully without truncating answers: callers are routed elsewhere,
   * those with outdated addresses are still served if their answers can end in
   * time, and the process ends when no work is left or just before it would be
   * killed.
   */
  async stop(): Promise<void> {
    this.#lifecycle.registerListener((phase) => this.#handlePhase(phase));
    const { timer } = this.#options;
    const stopRefusals = this.#requestService.registerShutdownRefusals();
    await this.#lifecycle.stop({
      isBusy: () =>
        this.#exchanges.count > 0 || this.#requestService.open > 0 ||
        this.#coordinator.openChains > 0,
      isReplaced: () => this.#membership.serving(timer.now()).length > 0,
    });
    stopRefusals();
    this.#requestService.failOpenRequests();
    await waitUntil(() => this.#exchanges.count === 0, {
      timer,
      timeoutMilliseconds: FLUSH_TIMEOUT_MILLISECONDS,
    });
    // An answer that a caller doesn't read would be lost.
    if (this.#exchanges.count === 0) this.#front.closeIdleConnections();
  }

  #handlePhase(phase: DaemonPhase): void {
    const { timer, log } = this.#options;
    const { policy, stopRequestedAt } = this.#lifecycle;
    log.info("phase entered", {
      phase,
      sinceStopMilliseconds: Math.round(
        timer.now() - (stopRequestedAt ?? timer.now()),
      ),
      openRequests: this.#requestService.open,
      openExchanges: this.#exchanges.count,
      openChains: this.#coordinator.openChains,
    });
    if (phase === "leaving") this.#fleet.announceState();
    if (!policy.isListening) this.#front.stopListening();
  }
}
