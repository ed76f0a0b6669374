import type { CrashPage } from "kelpspar-decisions/quarantine";
import type { ServingConfiguration } from "../configuration/serving_configuration.ts";
import type { PeerChainAnswer } from "../pieces/chain_redirect.ts";
import type { ChainRelease, ChainRequest } from "../pieces/chain_request.ts";
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
import type { DaemonAddress, FleetDigest } from "./fleet_digest.ts";
import { initTRPC } from "@trpc/server";
import { z } from "zod";
import {
  fromNoticeMessage,
  noticeMessageSchema,
  toNoticeMessage,
} from "../endpoints/notice_page.ts";
import {
  crashMessageSchema,
  fromCrashMessage,
  toCrashMessage,
} from "../quarantine/crash_message.ts";
import { speedMessageSchema } from "../load/learned_speed.ts";
import {
  begunStreamsSchema,
  recordedStreamsSchema,
} from "../streams/stream_origin.ts";
import { releaseLoadSchema } from "../load/release_load.ts";
import { followRequestSchema } from "../tables/table_changes.ts";
import { fleetDigestSchema } from "./fleet_digest.ts";

/** Handlers of calls from other daemons. */
export interface PeerHandlers {
  exchange(digest: FleetDigest): FleetDigest;
  /** Addresses of the daemons that are known here. */
  addresses(): readonly DaemonAddress[];
  /** The configuration in force here. */
  configuration(): ServingConfiguration | undefined;
  /** Returns changes of the store's tables; waits until there are any. */
  follow(request: FollowRequest, signal: AbortSignal): Promise<FollowAnswer>;
  /** Merges a peer's crashes; returns all that are known here. */
  shareCrashes(page: CrashPage): CrashPage;
  /** Merges a peer's endpoint notices; returns all that are known here. */
  shareNotices(page: NoticePage): NoticePage;
  /** Merges a peer's endpoint speeds; returns a page of those known here. */
  shareSpeeds(page: readonly LearnedSpeed[]): readonly LearnedSpeed[];
  /** Returns how long answers of each route take here. */
  answerTimes(): readonly RouteTimes[];
  /** Answer times from the send of a request. */
  sendTimes(): readonly RouteTimes[];
  /**
   * Runs a chain of stages, or names the coordinator; `signal` aborts it when
   * the caller disconnects.
   */
  runChain(
    request: ChainRequest,
    signal: AbortSignal,
  ): Promise<PeerChainAnswer>;
  release(release: ChainRelease): void;
  /** Lends part of a service's retry slack. */
  lendRetries(service: string, count: number): Promise<SlackGrant>;
  /** Remembers streams that the peer has begun. */
  holdStreams(streams: readonly BegunStream[]): void;
  /** Records streams that the peer has begun in the store. */
  recordStreams(streams: readonly RecordedStream[]): void;
  /** Finds a stream in the store; throws if the store doesn't answer. */
  findRecorded(attemptId: string): Promise<StreamOrigin | undefined>;
  /** Tells which software began a stream. */
  answerOrigin(options: FindOptions): OriginAnswer;
}

/** tRPC context of a call from another daemon. */
export interface PeerCallContext {
  readonly handlers: PeerHandlers;
  /** Creates a signal that aborts when the caller disconnects. */
  readonly createDisconnectSignal: () => AbortSignal;
}

const chainSchema = z.object({
  attemptId: z.string(),
  /** Daemons of the previous version don't send it. */
  kind: z.string().default(""),
  pieceKey: z.string(),
  stages: z.array(z.object({
    service: z.string(),
    after: z.array(z.number().int()),
    resultBytes: z.number(),
    pieces: z.number().int().min(0),
  })),
  remainingMilliseconds: z.number(),
  objectiveMilliseconds: z.number(),
  reader: z.object({
    service: z.string(),
    promptParts: z.array(z.object({ id: z.string(), tokens: z.number() })),
    version: z.string().optional(),
  }).optional(),
  tailMilliseconds: z.number(),
  priority: z.number(),
  earlierRunMilliseconds: z.number().optional(),
  /** Daemons of the previous version don't send it. */
  mayRedirect: z.boolean().default(false),
});

const lendSchema = z.object({
  service: z.string(),
  count: z.number().int().min(1),
});

const findSchema = z.object({
  attemptId: z.string(),
  /** Daemons of the previous version don't send it. */
  route: z.string().default(""),
  services: z.array(z.string()),
});

const releaseSchema = z.object({
  attemptId: z.string(),
  results: z.array(z.object({
    handle: z.string(),
    makerId: z.string(),
    makerAddress: z.string(),
    makerZone: z.string(),
  })),
  /** Results must be freed even if the load is invalid. */
  load: releaseLoadSchema.optional().catch(undefined),
  retainFor: z.string().optional().catch(undefined),
});

// In development mode errors would expose stack traces to any client.
const trpc = initTRPC.context<PeerCallContext>().create({ isDev: false });

/** The tRPC router that other daemons call. */
export const peerRouter = trpc.router({
  exchange: trpc.procedure.input(fleetDigestSchema).mutation(({ ctx, input }) =>
    ctx.handlers.exchange(input)
  ),
  addresses: trpc.procedure.query(({ ctx }) => ctx.handlers.addresses()),
  configuration: trpc.procedure.query(({ ctx }) =>
    ctx.handlers.configuration() ?? null
  ),
  follow: trpc.procedure.input(followRequestSchema).mutation((
    { ctx, input },
  ) => ctx.handlers.follow(input, ctx.createDisconnectSignal())),
  shareCrashes: trpc.procedure.input(crashMessageSchema).mutation((
    { ctx, input },
  ) => toCrashMessage(ctx.handlers.shareCrashes(fromCrashMessage(input)))),
  shareNotices: trpc.procedure.input(noticeMessageSchema).mutation((
    { ctx, input },
  ) => toNoticeMessage(ctx.handlers.shareNotices(fromNoticeMessage(input)))),
  shareSpeeds: trpc.procedure.input(speedMessageSchema).mutation((
    { ctx, input },
  ) => [...ctx.handlers.shareSpeeds(input)]),
  answerTimes: trpc.procedure.query(({ ctx }) => [
    ...ctx.handlers.answerTimes(),
  ]),
  sendTimes: trpc.procedure.query(({ ctx }) => [...ctx.handlers.sendTimes()]),
  runChain: trpc.procedure.input(chainSchema).mutation(({ ctx, input }) =>
    ctx.handlers.runChain(input, ctx.createDisconnectSignal())
  ),
  release: trpc.procedure.input(releaseSchema).mutation(({ ctx, input }) => {
    ctx.handlers.release(input);
    return null;
  }),
  lendRetries: trpc.procedure.input(lendSchema).mutation(({ ctx, input }) =>
    ctx.handlers.lendRetries(input.service, input.count)
  ),
  tellStreams: trpc.procedure.input(begunStreamsSchema).mutation((
    { ctx, input },
  ) => {
    ctx.handlers.holdStreams(input);
    return null;
  }),
  recordStreams: trpc.procedure.input(recordedStreamsSchema).mutation((
    { ctx, input },
  ) => {
    ctx.handlers.recordStreams(input);
    return null;
  }),
  findRecorded: trpc.procedure.input(z.string()).mutation(async (
    { ctx, input },
  ) => await ctx.handlers.findRecorded(input) ?? null),
  askOrigin: trpc.procedure.input(findSchema).mutation(({ ctx, input }) =>
    ctx.handlers.answerOrigin(input)
  ),
});

/** Router type for the tRPC client. */
export type PeerRouter = typeof peerRouter;
