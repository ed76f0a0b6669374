import type { CrowdKind } from "./crowd_kind.ts";
import {
  sendBody,
  sendChunks,
  sendChunksWithoutEnd,
  sendExtensions,
  sendThenReset,
  sendTrailers,
} from "./send_bodies.ts";
import {
  leaveUnread,
  pipelineRequests,
  sendHeadSlowly,
  stayIdle,
} from "./send_requests.ts";

/** Limit of the site for bodies. */
export const CROWD_BODY_BYTES = 4 * 1024 * 1024;

const SHORT_BY = 1_024;
const CHUNK_BYTES = 64 * 1024;
const MEGABYTE = 1_000_000;
const PIPELINED_REQUESTS = 2_000;
const HEAD_BYTES = 15_000;

const OPEN_CHUNKS = sendChunks({
  bytes: CROWD_BODY_BYTES - SHORT_BY,
  chunkBytes: CHUNK_BYTES,
});
const BYTE_CHUNKS = sendChunks({
  bytes: 2 * MEGABYTE,
  chunkBytes: 1,
  isWhole: true,
});
const OPEN_BODY = {
  announcedBytes: CROWD_BODY_BYTES,
  bytes: CROWD_BODY_BYTES - SHORT_BY,
};

/** Kinds of crowds by name. */
export const CROWD_KINDS = {
  "byte-chunks": {
    behave: BYTE_CHUNKS,
    connections: 1,
    seconds: 15,
    isServedAlone: true,
  },
  "small-chunks": {
    behave: sendChunks({ bytes: 4 * MEGABYTE - 100, chunkBytes: 100 }),
    connections: 60,
    seconds: 10,
  },
  "open-chunks": { behave: OPEN_CHUNKS, connections: 60 },
  "open-bodies": { behave: sendBody(OPEN_BODY), connections: 60 },
  "expected-bodies": {
    behave: sendBody({ ...OPEN_BODY, isAsked: true }),
    connections: 60,
  },
  pipeline: {
    behave: pipelineRequests(PIPELINED_REQUESTS),
    connections: 1,
    restSeconds: 3,
  },
  pipelines: {
    behave: pipelineRequests(PIPELINED_REQUESTS),
    connections: 20,
    restSeconds: 3,
  },
  "whole-bodies": {
    behave: sendBody({ announcedBytes: 4 * MEGABYTE }),
    connections: 60,
    seconds: 15,
    isAnswered: true,
  },
  "slow-bodies": {
    behave: sendBody({
      announcedBytes: 4 * MEGABYTE,
      pieceBytes: 16 * 1024,
      pauseMilliseconds: 200,
    }),
    connections: 60,
    seconds: 10,
  },
  "unread-answers": {
    behave: leaveUnread({ method: "GET", target: "/often/x?bytes=15000000" }),
    connections: 30,
    restSeconds: 4,
  },
  "unread-streams": {
    behave: leaveUnread({
      target: "/stream/x?events=400&delay=10&bytes=16384",
    }),
    connections: 60,
    restSeconds: 4,
  },
  "idle-front": { behave: stayIdle(), connections: 600 },
  "idle-directory": {
    behave: stayIdle(),
    connections: 600,
    port: "directory",
  },
  "idle-ready": { behave: stayIdle(), connections: 600, port: "ready" },
  resets: {
    behave: sendThenReset({
      announcedBytes: 4 * MEGABYTE,
      bytes: MEGABYTE,
    }),
    connections: 60,
    seconds: 8,
  },
  trailers: { behave: sendTrailers(), connections: 60, seconds: 3 },
  extensions: { behave: sendExtensions(), connections: 60, seconds: 3 },
  "large-bodies": {
    behave: sendBody({ announcedBytes: 1_000 * MEGABYTE }),
    connections: 30,
    seconds: 3,
  },
  "large-chunks": {
    behave: sendChunksWithoutEnd(),
    connections: 30,
    seconds: 3,
  },
  "slow-heads": {
    behave: sendHeadSlowly(HEAD_BYTES),
    connections: 200,
    seconds: 5,
  },
  "directory-chunks": {
    behave: OPEN_CHUNKS,
    connections: 60,
    port: "directory",
  },
  "ready-chunks": { behave: OPEN_CHUNKS, connections: 60, port: "ready" },
  "control-bodies": {
    behave: sendBody(OPEN_BODY),
    connections: 60,
    port: "control",
  },
  "control-byte-chunks": {
    behave: BYTE_CHUNKS,
    connections: 5,
    port: "control",
    seconds: 10,
  },
  "metrics-byte-chunks": {
    behave: BYTE_CHUNKS,
    connections: 20,
    port: "metrics",
    seconds: 5,
  },
  "directory-byte-chunks": {
    behave: BYTE_CHUNKS,
    connections: 20,
    port: "directory",
    seconds: 5,
  },
} as const satisfies Readonly<Record<string, CrowdKind>>;

/** Name of a kind of crowd. */
export type CrowdKindName = keyof typeof CROWD_KINDS;

/** The names of all kinds. */
export const CROWD_KIND_NAMES = Object.keys(
  CROWD_KINDS,
) as readonly CrowdKindName[];
