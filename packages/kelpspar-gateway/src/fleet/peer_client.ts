import type { TRPCClient } from "@trpc/client";
import type { TimerService } from "kelpspar-shared";
import type { ServingConfiguration } from "../configuration/serving_configuration.ts";
import type { ChainOutcome } from "../pieces/chain_outcome.ts";
import type { ChainRelease, ChainRequest } from "../pieces/chain_request.ts";
import type { NoticePage } from "../endpoints/notice_page.ts";
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
import { followAnswerSchema } from "../tables/table_changes.ts";
import { PEER_PATH } from "./peer_listener.ts";
import { SilentConnections } from "./silent_connection_detector.ts";

/** How long a short call to a peer may take, milliseconds. */
const SHORT_CALL_MILLISECONDS = 600;
/** A connection that isn't there after this is given up, milliseconds. */
const CONNECT_MILLISECONDS = 500;
/**
 * Idle connections are kept longer than a daemon takes to come round to the
 * same partner; the peer that accepted them keeps them a little longer.
 */
const IDLE_MILLISECONDS = 8_000;
export const PEER_IDLE_MILLISECONDS = IDLE_MILLISECONDS + 2_000;

type PeerCall<Answer> = (client: TRPCClient<PeerRouter>) => Promise<Answer>;

/** Calls other daemons by tRPC; each call throws when it fails. */
export class PeerClient implements FollowClient {
  readonly #timer: TimerService;
  readonly #silent: SilentConnections<TRPCClient<PeerRouter>>;
  readonly #connections = new PeerConnections({
    createClient: (peer, agent) =>
      createTRPCClient<PeerRouter>({
        links: [
          createPeerLink({ origin: `http://${peer}`, path: PEER_PATH, agent }),
        ],
      }),
    agent: {
      pipelining: 1,
      keepAliveTimeout: IDLE_MILLISECONDS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: CONNECT_MILLISECONDS },
    },
  });

  constructor(timer: TimerService) {
    this.#timer = timer;
    this.#silent = new SilentConnections(this.#connections, timer);
  }

  exchange(peer: string, digest: FleetDigest): Promise<FleetDigest> {
    return this.#short(
      peer,
      (client) => client.exchange.mutate(digest),
    );
  }

  addresses(peer: string): Promise<readonly DaemonAddress[]> {
    return this.#short(
      peer,
      (client) => client.addresses.query(),
    );
  }

  configuration(peer: string): Promise<ServingConfiguration | null> {
    return this.#short(
      peer,
      async (client) =>
        await client.configuration.query() as unknown as
          | ServingConfiguration
          | null,
    );
  }

  /** Tells a peer of crashes; gives all that it knows of. */
  async shareCrashes(peer: string, page: CrashPage): Promise<CrashPage> {
    const answer = await this.#short(
      peer,
      (client) => client.shareCrashes.mutate(toCrashMessage(page)),
    );
    return fromCrashMessage(answer);
  }

  /** Tells a peer what endpoints say; gives all that it knows of. */
  async shareNotices(peer: string, page: NoticePage): Promise<NoticePage> {
    const answer = await this.#short(
      peer,
      (client) => client.shareNotices.mutate(toNoticeMessage(page)),
    );
    return fromNoticeMessage(answer);
  }

  async follow(
    peer: string,
    request: FollowRequest,
    limitMilliseconds: number,
  ): Promise<FollowAnswer> {
    const answer = await this.#limited(
      peer,
      limitMilliseconds,
      (client) => client.follow.mutate(request),
    );
    return followAnswerSchema.parse(answer);
  }

  release(peer: string, release: ChainRelease): Promise<null> {
    const { attemptId, results } = release;
    return this.#short(
      peer,
      (client) => client.release.mutate({ attemptId, results: [...results] }),
    );
  }

  /** Takes as long as the chain does, or until `signal`. */
  async runChain(
    peer: string,
    request: ChainRequest,
    signal: AbortSignal,
  ): Promise<ChainOutcome> {
    const { client } = this.#connections.open(peer);
    const stages = request.stages.map((one) => ({
      ...one,
      after: [...one.after],
    }));
    const reader = request.reader === undefined ? undefined : {
      service: request.reader.service,
      promptParts: [...request.reader.promptParts],
    };
    const input = { ...request, stages, reader };
    return await client.runChain.mutate(input, { signal });
  }

  #short<Answer>(peer: string, call: PeerCall<Answer>): Promise<Answer> {
    return this.#limited(peer, SHORT_CALL_MILLISECONDS, call);
  }

  /**
   * A call that times out says nothing of its connection yet: the peer may be
   * busy, or the connection silent for good while new ones work. Later calls
   * take a new one; see `SilentConnections` for what becomes of the old.
   */
  async #limited<Answer>(
    peer: string,
    limitMilliseconds: number,
    call: PeerCall<Answer>,
  ): Promise<Answer> {
    const connection = this.#connections.open(peer);
    const answer = call(connection.client);
    let stopTimer = (): void => {};
    const timeout = new Promise<never>((_, reject) => {
      stopTimer = this.#timer.registerTimeout(() => {
        this.#silent.overdue(peer, connection, answer);
        reject(new Error("timed out"));
      }, limitMilliseconds);
    });
    try {
      const answered = await Promise.race([answer, timeout]);
      this.#silent.answered(peer, connection);
      return answered;
    } finally {
      stopTimer();
    }
  }
}
