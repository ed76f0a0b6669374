import type { RandomSource, TimerService } from "kelpspar-shared";
import type { ActiveConfiguration } from "../configuration/active_configuration.ts";
import type { DaemonAddress } from "../fleet/fleet_digest.ts";
import type { FleetMembership } from "../fleet/fleet_membership.ts";
import type { PeerClient } from "../fleet/peer_client.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { RowRangeStore } from "../tables/row_range_store.ts";
import type { StoreEra } from "../tables/store_era.ts";
import type { OriginAnswer } from "./origin_answer.ts";
import type { FindOptions } from "./origin_search.ts";
import type { StreamRoute } from "./software_candidates.ts";
import type {
  BegunStream,
  RecordedStream,
  StreamOrigin,
} from "./stream_origin.ts";
import type { VersionSource } from "./version_history.ts";
import { CheckedRows } from "../tables/checked_rows.ts";
import { StoreClock } from "../tables/store_clock.ts";
import { BegunStreams } from "./begun_streams.ts";
import { collectAnswers } from "./collect_answers.ts";
import { groupOfRoute, groupOfService } from "./history_group.ts";
import { OriginSearch } from "./origin_search.ts";
import { rankOriginHolders } from "./rank_origin_holders.ts";
import { RecentMembers } from "./recent_members.ts";
import { RouteHistory } from "./route_history.ts";
import { SoftwareCandidates } from "./software_candidates.ts";
import { describeSoftware } from "./software_of.ts";
import { StreamRecorder } from "./stream_recorder.ts";
import { StreamRowReader } from "./stream_row_reader.ts";
import { StreamRowWriter } from "./stream_row_writer.ts";
import { registerVersionHistory } from "./version_history.ts";
import { VersionTable } from "./version_table.ts";

/** Daemons that remember a stream, beside the one that began it. */
const HOLDERS = 3;
/** Holders that must have answered before the first event leaves. */
const REQUIRED_HOLDERS = 2;
/** Time that the first event waits for them at most. */
const TELL_TIMEOUT_MILLISECONDS = 100;

/** Outcome of `StreamOrigins.find`. */
export type OriginLookup =
  /** Also if only this software can have begun the stream. */
  | { readonly type: "known"; readonly origin: StreamOrigin }
  | { readonly type: "unknown" };

/** Dependencies of `StreamOrigins`. */
export interface StreamOriginsOptions {
  readonly self: DaemonAddress;
  /** Unique for each start of this daemon. */
  readonly incarnation: string;
  readonly registry: VersionSource;
  readonly configuration: Pick<ActiveConfiguration, "registerListener">;
  readonly peers: Pick<
    PeerClient,
    "tellStreams" | "askOrigin" | "recordStreams" | "findRecorded"
  >;
  readonly membership: Pick<FleetMembership, "liveMembers" | "contacts">;
  /** When the endpoint list last matched the store, monotonic milliseconds. */
  readonly listConfirmedAt: () => number;
  /** Undefined until this daemon knows the store. */
  readonly store: () => RowRangeStore | undefined;
  readonly era: StoreEra;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: GatewayLog;
}

/** A stream that begins. */
export interface BeginOptions extends StreamRoute {
  readonly stream: BegunStream;
}

/** Software that begins streams of a route. */
interface RoutedSoftware extends StreamOrigin {
  readonly route: string;
}

/**
 * Knows which software version began a stream, for daemons that take it up.
 * While several can have, the daemon that begins a stream tells some others
 * before its first event leaves, and records it in the store after that, in case
 * all daemons end at once. A daemon that takes a stream up asks the others and
 * the store. With a single version nothing is sent or recorded, apart from the
 * version itself.
 */
export class StreamOrigins {
  readonly #options: StreamOriginsOptions;
  readonly #history: RecentMembers;
  readonly #routes: RouteHistory;
  readonly #versions: VersionTable;
  readonly #writer: StreamRowWriter;
  readonly #reader: StreamRowReader;
  readonly #recorder: StreamRecorder;
  readonly #candidates: SoftwareCandidates;
  readonly #search: OriginSearch;
  readonly #streams = new BegunStreams();
  /** Daemons that were told of software before they may have known it. */
  readonly #announcedTo = new Map<string, Set<string>>();

  constructor(options: StreamOriginsOptions) {
    this.#options = options;
    const clock = new StoreClock(options.timer);
    const rows = new CheckedRows({ ...options, clock });
    this.#history = new RecentMembers({
      ...options,
      clock,
      onNewMember: (group) => this.#handleNewMember(group),
      onChange: () => this.#versions.update(),
    });
    this.#routes = new RouteHistory(this.#history);
    this.#versions = new VersionTable({
      ...options,
      history: this.#history,
      groups: () => this.#routes.groups,
      rows,
      clock,
      recorderRank: () => this.#recorder.rank,
      fleetSize: () => options.membership.contacts().length + 1,
    });
    this.#writer = new StreamRowWriter({ ...options, rows, clock });
    this.#reader = new StreamRowReader({
      ...options,
      rows,
      readers: () => this.#recorder.size,
    });
    this.#recorder = new StreamRecorder({
      ...options,
      writer: this.#writer,
      reader: this.#reader,
      mayRecord: () =>
        [...this.#routes.groups].some((group) =>
          this.#history.recent(group).length > 1
        ),
    });
    this.#candidates = new SoftwareCandidates({
      history: this.#history,
      versions: this.#versions,
    });
    this.#search = new OriginSearch({
      ...options,
      candidates: this.#candidates,
      versions: this.#versions,
      recorder: this.#recorder,
      rank: (attemptId) => this.#rank(attemptId),
    });
  }

  /** Subscribes to the endpoint list and the configuration. */
  register(): () => void {
    const { configuration, registry } = this.#options;
    const teardowns = [
      registerVersionHistory(registry, this.#history),
      this.#routes.register(configuration),
      this.#versions.register(),
      this.#writer.register(),
    ];
    return () => teardowns.forEach((teardown) => teardown());
  }

  /** Number of streams that are remembered. */
  get size(): number {
    return this.#streams.size;
  }

  /** False for software that other daemons may not know of yet. */
  isSettled({ service, version }: StreamOrigin): boolean {
    return this.#history.isSettled(groupOfService(service), version);
  }

  /**
   * Remembers which software begins a stream; resolves when enough other daemons
   * do, at most after `TELL_TIMEOUT_MILLISECONDS`. Never rejects.
   */
  async begin({ stream: begun, ...route }: BeginOptions): Promise<void> {
    const { peers, timer } = this.#options;
    const stream = { ...begun, route: route.route };
    this.#streams.add(stream, { isOwn: true, now: timer.now() });
    const others = this.#othersThan(stream, route);
    if (others.length === 0) return;
    const daemons = this.#rank(stream.attemptId);
    const untold = this.#isNews(stream, others)
      ? this.#untold(stream, daemons)
      : [];
    const told = new Set([...daemons.slice(0, HOLDERS), ...untold]);
    const required = untold.length > 0 ? told.size : REQUIRED_HOLDERS;
    await collectAnswers(
      [...told].map(async ({ peer }) => {
        await peers.tellStreams(peer, [stream]);
        this.#announcedTo.get(describeNews(stream))?.add(peer);
      }),
      {
        isEnough: ({ length }) => length >= required,
        timeoutMilliseconds: TELL_TIMEOUT_MILLISECONDS,
        timer,
      },
    );
  }

  /**
   * True if others may conclude other software, since they don't know yet that
   * this one serves the route; they are all told once.
   */
  #isNews(
    stream: RoutedSoftware,
    others: readonly StreamOrigin[],
  ): boolean {
    if (this.#isSettledAt(stream)) {
      this.#announcedTo.delete(describeNews(stream));
      return false;
    }
    return others.some((other) => this.isSettled(other));
  }

  /** Daemons that weren't told yet that this software serves the route. */
  #untold(
    stream: RoutedSoftware,
    daemons: readonly DaemonAddress[],
  ): readonly DaemonAddress[] {
    const key = describeNews(stream);
    const known = this.#announcedTo.get(key) ?? new Set();
    this.#announcedTo.set(key, known);
    return daemons.filter(({ peer }) => !known.has(peer));
  }

  /** False if other daemons may not know yet that it serves the route. */
  #isSettledAt({ route, ...software }: RoutedSoftware): boolean {
    return this.isSettled(software) &&
      this.#history.isSettled(groupOfRoute(route), software.service);
  }

  /** Other software that can have begun streams of the route. */
  #othersThan(
    { service, version }: StreamOrigin,
    route: StreamRoute,
  ): readonly StreamOrigin[] {
    return this.#candidates.of(route).filter((other) =>
      other.service !== service || other.version !== version
    );
  }

  /** Records a stream whose first event reaches the caller. */
  begun({ attemptId, ...route }: FindOptions): void {
    this.#streams.markBegun(attemptId);
    const stream = this.#streams.findBegun(
      attemptId,
      this.#options.timer.now(),
    );
    if (stream === undefined) return;
    if (this.#othersThan(stream, route).length === 0) return;
    this.#recorder.record([stream]);
  }

  /** Records streams for another daemon. */
  record(streams: readonly RecordedStream[]): void {
    this.#writer.add(streams);
  }

  /** Finds a stream in the store for another daemon; throws if that fails. */
  findRecorded(attemptId: string): Promise<StreamOrigin | undefined> {
    return this.#reader.find(attemptId);
  }

  /** Finds the software that began a stream. Never rejects. */
  async find(options: FindOptions): Promise<OriginLookup> {
    const { timer, log } = this.#options;
    const { attemptId } = options;
    const known = this.#streams.find(attemptId, timer.now());
    if (known !== undefined) return { type: "known", origin: known };
    const software = this.#candidates.of(options);
    if (software.length === 1 && this.#candidates.isComplete(options)) {
      return toLookup(software);
    }
    const startedAt = timer.now();
    const { origin, recent, isComplete, asked } = await this.#search.search(
      options,
    );
    const candidates = [...this.#candidates.of(options), ...recent];
    const conclusive = isComplete === true ? candidates : [];
    const lookup = toLookup(origin === undefined ? conclusive : [origin]);
    log.info("origin of a stream asked for", {
      resumedAttempt: attemptId,
      outcome: lookup.type,
      ...(lookup.type === "known" ? lookup.origin : {}),
      isFound: origin !== undefined,
      candidates: [...new Set(candidates.map(describeSoftware))].join(),
      isComplete,
      asked,
      tookMilliseconds: Math.round(timer.now() - startedAt),
    });
    return lookup;
  }

  /** Remembers streams that another daemon has begun. */
  hold(streams: readonly BegunStream[]): void {
    const now = this.#options.timer.now();
    for (const stream of streams) {
      this.#streams.add(stream, { isOwn: false, now });
      const { service, version, route } = stream;
      this.#history.addAbsent(groupOfService(service), version);
      if (route === undefined) continue;
      this.#history.addAbsent(groupOfRoute(route), service);
    }
  }

  /** Answers another daemon that takes up a stream. */
  answer(options: FindOptions): OriginAnswer {
    const { timer } = this.#options;
    const known = this.#streams.find(options.attemptId, timer.now());
    return {
      origin: known === undefined
        ? undefined
        : { service: known.service, version: known.version },
      recent: this.#candidates.of(options),
      isComplete: this.#candidates.isCompleteWithoutRecord(options),
    };
  }

  #rank(attemptId: string): readonly DaemonAddress[] {
    const { membership, timer } = this.#options;
    return rankOriginHolders(
      attemptId,
      membership.liveMembers(timer.now()).map(({ address }) => address),
    );
  }

  /**
   * Tells and records the streams that began while only one software could have
   * begun them, when there is another one.
   */
  #handleNewMember(group: string): void {
    if (this.#history.recent(group).length <= 1) return;
    const now = this.#options.timer.now();
    const mayDiffer = ({ service }: StreamOrigin): boolean =>
      group === groupOfService(service) ||
      this.#history.recent(group).includes(service);
    this.#recorder.scheduleCleanup();
    this.#tellHolders(this.#streams.ownStreams(now).filter(mayDiffer));
    this.#recorder.record(this.#streams.begunStreams(now).filter(mayDiffer));
  }

  #tellHolders(streams: readonly BegunStream[]): void {
    const streamsByPeer = new Map<string, BegunStream[]>();
    for (const stream of streams) {
      const holders = this.#rank(stream.attemptId).slice(0, HOLDERS);
      for (const { peer } of holders) {
        const told = streamsByPeer.get(peer);
        if (told === undefined) streamsByPeer.set(peer, [stream]);
        else told.push(stream);
      }
    }
    const { peers } = this.#options;
    for (const [peer, told] of streamsByPeer) {
      // A holder that can't be told is one of several.
      peers.tellStreams(peer, told).catch(() => {});
    }
  }
}

/** Key of software that serves a route. */
function describeNews({ route, ...software }: RoutedSoftware): string {
  return `${route} ${describeSoftware(software)}`;
}

/** Concludes from all software that can have begun a stream. */
function toLookup(candidates: readonly StreamOrigin[]): OriginLookup {
  const [origin, ...others] = candidates;
  const isOnly = others.every(({ service, version }) =>
    service === origin?.service && version === origin.version
  );
  // The software is kept even if it leaves before the stream goes on.
  return origin === undefined || !isOnly
    ? { type: "unknown" }
    : { type: "known", origin };
}
