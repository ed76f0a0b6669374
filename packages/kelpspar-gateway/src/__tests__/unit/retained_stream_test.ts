import type { ChainRelease } from "../../pieces/chain_request.ts";
import type { ChainOutcome } from "../../pieces/chain_outcome.ts";
import type { ScriptedAnswer } from "../support/request_world.ts";
import { expect } from "earl";
import { Readable } from "node:stream";
import { test } from "node:test";
import {
  createWorld,
  request,
  serve,
  stream,
} from "../support/request_world.ts";

const CUT = new Error("cut");
const CUT_AFTER_ONE: ScriptedAnswer = () =>
  stream("id: 1\ndata: a\n\n", "id: 2\nda", CUT);
const REST: ScriptedAnswer = () =>
  stream("id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n");
const WHOLE: ScriptedAnswer = () =>
  stream("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n");

/** An outcome with results of these handles. */
function made(...handles: readonly string[]): ChainOutcome {
  const results = handles.map((handle) => ({
    handle,
    makerId: "m",
    makerAddress: "10.0.1.1:80",
    makerZone: "a",
  }));
  return { type: "done", results };
}

/** Attempt, handles and whether they are to be retained. */
function describe(
  releases: readonly ChainRelease[],
): readonly (readonly [string, string, boolean])[] {
  return releases.map(({ attemptId, results, retainFor }) => [
    attemptId,
    results.map(({ handle }) => handle).join(","),
    retainFor !== undefined,
  ]);
}

// Guards against results that are freed while a stream may still need them.
test("results of a resumable stream are retained until it ends", async () => {
  const world = createWorld([WHOLE], { chain: made("h1", "h2") });
  await serve(world);
  expect(world.reply.endState).toEqual("ended");
  expect(describe(world.releases)).toEqual([
    ["a1", "h1,h2", true],
    ["", "h1,h2", false],
  ]);
});

// Guards against results that are freed while the next endpoint reads them.
test("results that are read once more are released once", async () => {
  const world = createWorld([CUT_AFTER_ONE, REST], { chain: made("h1") });
  await serve(world);
  expect([world.reply.endState, world.chainRunCount()]).toEqual(["ended", 2]);
  // The second endpoint is the last that the route allows.
  expect(describe(world.releases)).toEqual([
    ["a1", "h1", true],
    ["a1", "h1", false],
  ]);
});

// Guards against results that stay at their makers when others were made.
test("retained results are freed once they were made again", async () => {
  const chains = [made("h1"), made("h2")];
  const world = createWorld([CUT_AFTER_ONE, REST], { chains });
  await serve(world);
  expect(describe(world.releases)).toEqual([
    ["a1", "h1", true],
    ["", "h1", false],
    ["a1", "h2", false],
  ]);
});

// Guards against streams that end with retained results that were lost unnoticed.
test("a stream whose retained results are gone goes on with others", async () => {
  const gone: ScriptedAnswer = () => ({
    type: "not_run",
    refusal: "input_gone",
  });
  const chains = [made("h1"), made("h1"), made("h2")];
  const world = createWorld([CUT_AFTER_ONE, gone, REST], { chains });
  await serve(world);
  expect([world.reply.endState, world.chainRunCount()]).toEqual(["ended", 3]);
  expect(world.endpointCalls.map(({ inputs }) => inputs?.join()))
    .toEqual(["h1", "h1", "h2"]);
});

// Guards against room for results that no other endpoint may read.
test("results of a stream that may run once are freed at its first event", async () => {
  for (const route of [{ isResumable: false }, { attempts: 1 }]) {
    const world = createWorld([WHOLE], { route, chain: made("h1") });
    await serve(world);
    expect(describe(world.releases)).toEqual([["a1", "h1", false]]);
  }
});

// Guards against room that a new coordinator can't count.
test("retained results are freed when another coordinator is used", async () => {
  const body = new Readable({ read: () => {} });
  const world = createWorld([() => ({
    type: "answered",
    status: 200,
    headers: [],
    framing: "close_delimited",
    body,
    close: () => void body.destroy(),
  })], { chain: made("h1") });
  const served = world.service.serve(request(), world.reply);
  body.push("id: 1\ndata: a\n\n");
  await world.timer.settle();
  expect(describe(world.releases)).toEqual([["a1", "h1", true]]);
  world.service.releaseRetainedResults();
  expect(describe(world.releases).slice(1)).toEqual([["", "h1", false]]);
  body.push(null);
  await world.timer.settle();
  await served;
  expect([world.reply.endState, world.releases.length]).toEqual(["ended", 2]);
});
