import type { TRPCClient } from "@trpc/client";
import type { TimerService } from "kelpspar-shared";
import type { ServingConfiguration } from "../configuration/serving_configuration.ts";
import type { PeerChainAnswer } from "../pieces/chain_redirect.ts";
import type { ChainRelease, ChainRequest } from "../pieces/chain_request.ts";
import type { MalformedAnswers } from "../exchange/malformed_answers.ts";
import type { RouteTimes } from "../lifecycle/route_times.ts";
import type { LearnedSpeed } from "../load/learned_speed.ts";
import type { NoticePage } from "../endpoints/notice_page.ts";
import type { OriginAnswer } from "../streams/origin_answer.ts";
import type { SlackGrant } from "../retries/slack_grant.ts";
import type { FindOptions } from "../streams/origin_search.ts";
import type {
  BegunStream,
  RecordedStream,
  StreamOrigin,
} from "../streams/stream_origin.ts";
import type { FollowAnswer, FollowRequest } from "../tables/table_changes.ts";
import type { FollowClient } from "../tables/table_follower.ts";
import type { DaemonAddress, FleetDigest } from "./fleet_digest.ts";
import type { PeerRouter } from "./peer_router.ts";
import type { CrashPage } from "kelpspar-decisions/quarantine";
import { createTRPCClient } from "@trpc/client";
import { createPeerLink, PeerConnections } from "kelpspar-peers";
import {
  fromNoticeMessage,
  toNoticeMessage,
} from "../endpoints/notice_page.ts";
import {
  fromCrashMessage,
  toCrashMessage,
} from "../quarantine/crash_message.ts";
import { routeTimesPageSchema } from "../lifecycle/route_times.ts";
import { speedMessageSchema } from "../load/learned_speed.ts";
import { slackGrantSchema } from "../retries/slack_grant.ts";
import { streamOriginSchema } from "../streams/stream_origin.ts";
import { originAnswerSchema } from "../streams/origin_answer.ts";
import { followAnswerSchema } from "../tables/table_changes.ts";
import { reportBodyLimit } from "../exchange/report_body_limit.ts";
import { PeerTimeoutError } from "./peer_timeout_error.ts";
import { PEER_PATH } from "./peer_listener.ts";
import { SilentConnectionDetector } from "./silent_connection_detector.ts";

const SHORT_CALL_TIMEOUT_MILLISECONDS = 600;
/**
 * Timeout of a call for the configuration, milliseconds: 600 KB over a link of
 * 7 Mbit/s that carries three of them. A call that times out transfers the rest
 * anyway, and so would the next ones.
 */
const CONFIGURATION_TIMEOUT_MILLISECONDS = 2_500;
/** From an answer's head to its end; a call that waits for it ends before. */
const BODY_TIMEOUT_MILLISECONDS = CONFIGURATION_TIMEOUT_MILLISECONDS;
/** Requests wait for what is lent. */
const LEND_TIMEOUT_MILLISECONDS = 400;
const CONNECT_TIMEOUT_MILLISECONDS = 500;
/**
 * Longer than the time between two exchanges with the same partner, so that
 * connections are reused. The accepting peer keeps them slightly longer.
 */
const IDLE_TIMEOUT_MILLISECONDS = 8_000;
export const PEER_IDLE_TIMEOUT_MILLISECONDS = IDLE_TIMEOUT_MILLISECONDS + 2_000;

/** Dependencies of a `PeerClient`. */
export interface PeerClientOptions {
  readonly timer: TimerService;
  readonly malformedAnswers: Pick<MalformedAnswers, "publish">;
}

type PeerCall<Answer> = (client: TRPCClient<PeerRouter>) => Promise<Answer>;

/** Calls other daemons over tRPC; each method throws when its call fails. */
export class PeerClient implements FollowClient {
  readonly #timer: TimerService;
  readonly #malformedAnswers: PeerClientOptions["malformedAnswers"];
  readonly #silentConnections: SilentConnectionDetector<TRPCClient<PeerRouter>>;
  readonly #connections = new PeerConnections({
    createClient: (peer, agent) =>
      createTRPCClient<PeerRouter>({
        links: [
          createPeerLink({
            origin: `http://${peer}`,
            path: PEER_PATH,
            agent,
            bodyTime: {
              timer: this.#timer,
              milliseconds: BODY_TIMEOUT_MILLISECONDS,
            },
            onBodyLimit: (error) =>
              reportBodyLimit(this.#malformedAnswers, error, {
                sender: peer,
                hasFailedCall: true,
              }),
          }),
        ],
      }),
    agent: {
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MILLISECONDS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
      onMalformed: (origin, { reason }) => {
        const sender = new URL(origin).host;
        this.#malformedAnswers.publish({ sender, reason, hasFailedCall: true });
      },
    },
  });

  constructor({ timer, malformedAnswers }: PeerClientOptions) {
    this.#timer = timer;
    this.#malformedAnswers = malformedAnswers;
    this.#silentConnections = new SilentConnectionDetector({
      connections: this.#connections,
      timer,
      probe: (client) => client.addresses.query(),
    });
  }

  exchange(peer: string, digest: FleetDigest): Promise<FleetDigest> {
    return this.#callWithShortTimeout(
      peer,
      (client) => client.exchange.mutate(digest),
    );
  }

  addresses(peer: string): Promise<readonly DaemonAddress[]> {
    return this.#callWithShortTimeout(
      peer,
      (client) => client.addresses.query(),
    );
  }

  configuration(peer: string): Promise<ServingConfiguration | null> {
    return this.#callWithTimeout(
      peer,
      CONFIGURATION_TIMEOUT_MILLISECONDS,
      async (client) =>
        await client.configuration.query() as unknown as
          | ServingConfiguration
          | null,
    );
  }

  /** Sends known crashes to a peer; returns all crashes that the peer knows. */
  async shareCrashes(peer: string, page: CrashPage): Promise<CrashPage> {
    const answer = await this.#callWithShortTimeout(
      peer,
      (client) => client.shareCrashes.mutate(toCrashMessage(page)),
    );
    return fromCrashMessage(answer);
  }

  /** Sends endpoint notices to a peer; returns all that the peer knows. */
  async shareNotices(peer: string, page: NoticePage): Promise<NoticePage> {
    const answer = await this.#callWithShortTimeout(
      peer,
      (client) => client.shareNotices.mutate(toNoticeMessage(page)),
    );
    return fromNoticeMessage(answer);
  }

  /** Sends endpoint speeds to a peer; returns a page of those it knows. */
  async shareSpeeds(
    peer: string,
    page: readonly LearnedSpeed[],
  ): Promise<readonly LearnedSpeed[]> {
    const answer = await this.#callWithShortTimeout(
      peer,
      (client) => client.shareSpeeds.mutate([...page]),
    );
    return speedMessageSchema.parse(answer);
  }

  /** Returns how long answers of each route take at a peer. */
  async answerTimes(peer: string): Promise<readonly RouteTimes[]> {
    const answer = await this.#callWithShortTimeout(
      peer,
      (client) => client.answerTimes.query(),
    );
    return routeTimesPageSchema.parse(answer);
  }

  /** Returns the same, counted from the send of a request. */
  async sendTimes(peer: string): Promise<readonly RouteTimes[]> {
    const answer = await this.#callWithShortTimeout(
      peer,
      (client) => client.sendTimes.query(),
    );
    return routeTimesPageSchema.parse(answer);
  }

  async follow(
    peer: string,
    request: FollowRequest,
    timeoutMilliseconds: number,
  ): Promise<FollowAnswer> {
    const answer = await this.#callWithTimeout(
      peer,
      timeoutMilliseconds,
      (client) => client.follow.mutate(request),
    );
    return followAnswerSchema.parse(answer);
  }

  release(peer: string, release: ChainRelease): Promise<null> {
    const results = [...release.results];
    return this.#callWithShortTimeout(
      peer,
      (client) => client.release.mutate({ ...release, results }),
    );
  }

  /** Borrows part of a service's retry slack from a peer. */
  async lendRetries(
    peer: string,
    request: { readonly service: string; readonly count: number },
  ): Promise<SlackGrant> {
    const answer = await this.#callWithTimeout(
      peer,
      LEND_TIMEOUT_MILLISECONDS,
      (client) => client.lendRetries.mutate(request),
    );
    return slackGrantSchema.parse(answer);
  }

  /** Tells a peer which software began streams. */
  tellStreams(peer: string, streams: readonly BegunStream[]): Promise<null> {
    return this.#callWithShortTimeout(
      peer,
      (client) => client.tellStreams.mutate([...streams]),
    );
  }

  /** Asks a peer to record begun streams in the store. */
  recordStreams(
    peer: string,
    streams: readonly RecordedStream[],
  ): Promise<null> {
    return this.#callWithShortTimeout(
      peer,
      (client) => client.recordStreams.mutate([...streams]),
    );
  }

  /** Asks a peer to find a stream in the store; undefined if it isn't there. */
  async findRecorded(
    peer: string,
    attemptId: string,
  ): Promise<StreamOrigin | undefined> {
    const answer = await this.#callWithShortTimeout(
      peer,
      (client) => client.findRecorded.mutate(attemptId),
    );
    return streamOriginSchema.nullable().parse(answer) ?? undefined;
  }

  /** Asks a peer which software began a stream. */
  async askOrigin(
    peer: string,
    { attemptId, route, services }: FindOptions,
  ): Promise<OriginAnswer> {
    const question = { attemptId, route, services: [...services] };
    const answer = await this.#callWithShortTimeout(
      peer,
      (client) => client.askOrigin.mutate(question),
    );
    return originAnswerSchema.parse(answer);
  }

  /** Runs a chain at a peer; ends with the chain or when `signal` aborts. */
  async runChain(
    peer: string,
    request: ChainRequest,
    signal: AbortSignal,
  ): Promise<PeerChainAnswer> {
    await this.#silentConnections.waitForVerdict(peer);
    const { client } = this.#connections.open(peer);
    const stages = request.stages.map((stage) => ({
      ...stage,
      after: [...stage.after],
    }));
    const reader = request.reader === undefined ? undefined : {
      service: request.reader.service,
      promptParts: [...request.reader.promptParts],
      version: request.reader.version,
    };
    const input = { ...request, stages, reader };
    return await client.runChain.mutate(input, { signal });
  }

  #callWithShortTimeout<Answer>(
    peer: string,
    call: PeerCall<Answer>,
  ): Promise<Answer> {
    return this.#callWithTimeout(peer, SHORT_CALL_TIMEOUT_MILLISECONDS, call);
  }

  /**
   * A timeout alone doesn't show whether the peer is busy or the connection is
   * dead while new ones work; `SilentConnectionDetector` finds out.
   */
  async #callWithTimeout<Answer>(
    peer: string,
    timeoutMilliseconds: number,
    call: PeerCall<Answer>,
  ): Promise<Answer> {
    await this.#silentConnections.waitForVerdict(peer);
    const connection = this.#connections.open(peer);
    const sentAt = this.#timer.now();
    const firstAnswer = call(connection.client);
    const answer = firstAnswer.catch((error: unknown) => {
      const current = this.#connections.open(peer);
      if (current === connection) throw error;
      // The connection was replaced because it is silent.
      return call(current.client);
    });
    let stopTimer = (): void => {};
    const timeout = new Promise<never>((_, reject) => {
      stopTimer = this.#timer.registerTimeout(() => {
        this.#silentConnections.reportOverdueCall({
          peer,
          connection,
          sentAt,
          answer: firstAnswer,
        });
        reject(new PeerTimeoutError());
      }, timeoutMilliseconds);
    });
    try {
      return await Promise.race([answer, timeout]);
    } finally {
      stopTimer();
    }
  }
}
