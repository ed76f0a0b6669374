import type { TimerService } from "kelpspar-shared";
import type { DaemonAddress } from "../fleet/fleet_digest.ts";
import type { FleetMembership } from "../fleet/fleet_membership.ts";
import type { PeerClient } from "../fleet/peer_client.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { OriginAnswer } from "./origin_answer.ts";
import type { BegunStream, StreamOrigin } from "./stream_origin.ts";
import type { VersionHistoryOptions } from "./version_history.ts";
import { BegunStreams } from "./begun_streams.ts";
import { collectAnswers } from "./collect_answers.ts";
import { hasSeveralVersions } from "./has_several_versions.ts";
import { rankOriginHolders } from "./rank_origin_holders.ts";
import { describeSoftware } from "./software_of.ts";
import { VersionHistory } from "./version_history.ts";

/** Daemons that remember a stream, beside the one that began it. */
const HOLDERS = 3;
/** Holders that must have answered before the first event leaves. */
const REQUIRED_HOLDERS = 2;
/** Time that the first event waits for them at most. */
const TELL_TIMEOUT_MILLISECONDS = 100;
/** Daemons that are asked for a stream; more than tell each other of it. */
const ASKED_DAEMONS = 8;
/** Time after which a stream that nobody has found counts as unknown. */
const ASK_TIMEOUT_MILLISECONDS = 150;

/** Outcome of `StreamOrigins.find`. */
export type OriginLookup =
  | { readonly type: "known"; readonly origin: StreamOrigin }
  /** Only one software version can have begun the stream. */
  | { readonly type: "any" }
  /** Several can have, and no daemon that answered knows which one did. */
  | { readonly type: "unknown" };

/** Dependencies of `StreamOrigins`. */
export interface StreamOriginsOptions {
  readonly registry: VersionHistoryOptions["registry"];
  readonly peers: Pick<PeerClient, "tellStreams" | "askOrigin">;
  readonly membership: Pick<FleetMembership, "liveMembers">;
  readonly timer: TimerService;
  readonly log: GatewayLog;
}

/** A stream that begins, and the services that its route may send it to. */
export interface BeginOptions {
  readonly stream: BegunStream;
  readonly services: readonly string[];
}

/** The attempt that began a stream, and the services that it may be of. */
export interface FindOptions {
  readonly attemptId: string;
  readonly services: readonly string[];
}

/**
 * Knows which software version began a stream, for daemons that take it up.
 * While endpoints of a service have several versions, the daemon that begins a
 * stream tells some others before its first event leaves; a daemon that takes a
 * stream up asks them. With a single version nothing is sent.
 */
export class StreamOrigins {
  readonly #options: StreamOriginsOptions;
  readonly #history: VersionHistory;
  readonly #streams = new BegunStreams();

  constructor(options: StreamOriginsOptions) {
    this.#options = options;
    this.#history = new VersionHistory({
      ...options,
      onNewVersion: (service) => this.#tellOwnStreams(service),
    });
  }

  /** Subscribes to the endpoint list; returns the teardown. */
  register(): () => void {
    return this.#history.register();
  }

  /** Number of streams that are remembered. */
  get size(): number {
    return this.#streams.size;
  }

  /**
   * Remembers which software begins a stream; resolves when enough other daemons
   * do, at most after `TELL_TIMEOUT_MILLISECONDS`. Never rejects.
   */
  async begin({ stream, services }: BeginOptions): Promise<void> {
    const { peers, timer } = this.#options;
    this.#streams.add(stream, { isOwn: true, now: timer.now() });
    if (!this.#mayDiffer(services)) return;
    const holders = this.#rank(stream.attemptId).slice(0, HOLDERS);
    await collectAnswers(
      holders.map(({ peer }) => peers.tellStreams(peer, [stream])),
      {
        isEnough: ({ length }) => length >= REQUIRED_HOLDERS,
        timeoutMilliseconds: TELL_TIMEOUT_MILLISECONDS,
        timer,
      },
    );
  }

  /** Finds the software that began a stream. Never rejects. */
  async find(options: FindOptions): Promise<OriginLookup> {
    const { timer, log } = this.#options;
    const { attemptId, services } = options;
    const known = this.#streams.find(attemptId, timer.now());
    if (known !== undefined) return { type: "known", origin: known };
    const mayDiffer = this.#mayDiffer(services);
    if (!mayDiffer && this.#history.isComplete) return { type: "any" };
    const startedAt = timer.now();
    const { origin, recent, asked } = await this.#ask(options);
    const candidates = [...this.#history.recent(services), ...recent];
    const lookup = toLookup(origin, candidates);
    log.info("origin of a stream asked for", {
      resumedAttempt: attemptId,
      outcome: lookup.type,
      service: origin?.service,
      version: origin?.version,
      candidates: [...new Set(candidates.map(describeSoftware))].join(),
      isComplete: this.#history.isComplete,
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
    }
  }

  /** Answers another daemon that takes up a stream. */
  answer({ attemptId, services }: FindOptions): OriginAnswer {
    const known = this.#streams.find(attemptId, this.#options.timer.now());
    return {
      origin: known === undefined
        ? undefined
        : { service: known.service, version: known.version },
      recent: this.#history.recent(services),
    };
  }

  #mayDiffer(services: readonly string[]): boolean {
    return hasSeveralVersions(this.#history.recent(services));
  }

  #rank(attemptId: string): readonly DaemonAddress[] {
    const { membership, timer } = this.#options;
    return rankOriginHolders(
      attemptId,
      membership.liveMembers(timer.now()).map(({ address }) => address),
    );
  }

  /**
   * Tells the streams that began while their service had a single version, when
   * it gets another one.
   */
  #tellOwnStreams(service: string): void {
    if (!this.#mayDiffer([service])) return;
    const streamsByPeer = new Map<string, BegunStream[]>();
    const streams = this.#streams.ownStreams(this.#options.timer.now());
    for (const stream of streams) {
      if (stream.service !== service) continue;
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

  async #ask(
    options: FindOptions,
  ): Promise<OriginAnswer & { readonly asked: number }> {
    const { peers, timer } = this.#options;
    const daemons = this.#rank(options.attemptId).slice(0, ASKED_DAEMONS);
    const answers = await collectAnswers(
      daemons.map(({ peer }) => peers.askOrigin(peer, options)),
      {
        isEnough: (received) => received.some(hasOrigin),
        timeoutMilliseconds: ASK_TIMEOUT_MILLISECONDS,
        timer,
      },
    );
    return {
      origin: answers.find(hasOrigin)?.origin,
      recent: answers.flatMap(({ recent }) => recent),
      asked: daemons.length,
    };
  }
}

function hasOrigin({ origin }: OriginAnswer): boolean {
  return origin !== undefined;
}

function toLookup(
  origin: StreamOrigin | undefined,
  recent: readonly StreamOrigin[],
): OriginLookup {
  if (origin !== undefined) {
    const { service, version } = origin;
    return { type: "known", origin: { service, version } };
  }
  return { type: hasSeveralVersions(recent) ? "unknown" : "any" };
}
