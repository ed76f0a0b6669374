import type { PieceResult } from "../../pieces/chain_outcome.ts";
import type { PieceCoordinator } from "../../pieces/piece_coordinator.ts";
import type { SharedChain } from "../support/shared_stages.ts";
import { expect } from "earl";
import { test } from "node:test";
import { chainKeyOf } from "../../pieces/chain_key.ts";
import { requestOf, SharedStages } from "../support/shared_stages.ts";

const CHAIN: SharedChain = { attemptId: "a", pieces: 6 };
const CALL_MILLISECONDS = 500;
/** Longer than results are collected before they are freed. */
const FREE_MILLISECONDS = 10;
/** Time after which results of these stages expire. */
const KEPT_MILLISECONDS = 4_000;
/** Streams that load the stages. */
const FIRST_EVENT_MILLISECONDS = 100;
const STREAM_MILLISECONDS = 3_000;
/** Time until a new coordinator is used for the first time. */
const NOTICED_MILLISECONDS = 150;
const LOAD_MILLISECONDS = 6_000;

/** Makes the results of a chain. */
async function make(
  stages: SharedStages,
  coordinator: PieceCoordinator,
  chain: SharedChain,
): Promise<readonly PieceResult[]> {
  const made = stages.make(coordinator, chain);
  await stages.timer.advance(CALL_MILLISECONDS);
  const outcome = await made;
  return outcome.type === "done" ? outcome.results : [];
}

/** Releases results at the first event of a resumable stream. */
function retain(
  coordinator: PieceCoordinator,
  chain: SharedChain,
  results: readonly PieceResult[],
): void {
  const retainFor = chainKeyOf(requestOf(chain));
  coordinator.release({ attemptId: chain.attemptId, results, retainFor });
}

/** Stages at which a stream's results are retained. */
async function createRetained(
  options: { readonly slack?: number; readonly room?: number } = {},
): Promise<{
  readonly stages: SharedStages;
  readonly coordinator: PieceCoordinator;
  readonly results: readonly PieceResult[];
}> {
  const stages = new SharedStages(options);
  const coordinator = stages.createCoordinator();
  const results = await make(stages, coordinator, CHAIN);
  retain(coordinator, CHAIN, results);
  await stages.timer.advance(FREE_MILLISECONDS);
  return { stages, coordinator, results };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

// Guards against streams that are broken off for want of retries of their pieces.
test("a stream that goes on at another endpoint repeats no piece", async () => {
  const { stages, coordinator, results } = await createRetained({ slack: 0 });
  expect(results.length).toEqual(CHAIN.pieces);
  expect(await make(stages, coordinator, CHAIN)).toEqual(results);
  expect([stages.repeats, stages.freed]).toEqual([0, []]);
});

// Guards against results that are read while they are being freed.
test("results that a stream reads once more aren't freed until it has", async () => {
  const { stages, coordinator, results } = await createRetained({ room: 25 });
  await make(stages, coordinator, CHAIN);
  for (const attemptId of ["b", "c", "d"]) {
    await make(stages, coordinator, { attemptId, pieces: 18 });
  }
  expect(stages.freed).toEqual([]);
  coordinator.release({ attemptId: CHAIN.attemptId, results });
  await stages.timer.advance(FREE_MILLISECONDS);
  expect(stages.freed.toSorted())
    .toEqual(results.map(({ handle }) => handle).toSorted());
});

// Guards against room that is taken by results of streams that have ended.
test("the results of a stream are freed when it ends", async () => {
  const { stages, coordinator, results } = await createRetained();
  expect(stages.freed).toEqual([]);
  coordinator.release({ attemptId: "", results });
  await stages.timer.advance(FREE_MILLISECONDS);
  expect(sum(stages.kept)).toEqual(0);
  expect((await make(stages, coordinator, CHAIN)).length)
    .toEqual(CHAIN.pieces);
  expect(stages.repeats).toEqual(CHAIN.pieces);
});

// Guards against freeing at the end of each stream what made way before.
test("results that made way aren't freed again when their stream ends", async () => {
  const { stages, coordinator, results } = await createRetained({ room: 18 });
  expect(stages.freed.length).toEqual(CHAIN.pieces);
  coordinator.release({ attemptId: "", results });
  await stages.timer.advance(FREE_MILLISECONDS);
  expect(stages.freed.length).toEqual(CHAIN.pieces);
});

// Guards against reading the results of another request or of other stages.
test("results are read once more by the same chain only", async () => {
  const { stages, coordinator } = await createRetained();
  const other = { ...CHAIN, pieceKey: "other" };
  await make(stages, coordinator, other);
  expect(stages.repeats).toEqual(CHAIN.pieces);
  expect(stages.freed.length).toEqual(CHAIN.pieces);
});

// Guards against a placement without stages that ends what its stream needs.
test("a request that asks for its place only leaves its results alone", async () => {
  const { stages, coordinator, results } = await createRetained();
  await coordinator.run(
    { ...requestOf(CHAIN), stages: [] },
    new AbortController().signal,
  );
  expect(await make(stages, coordinator, CHAIN)).toEqual(results);
});

// Guards against a model endpoint that finds the results gone.
test("results that are about to expire are made again", async () => {
  const { stages, coordinator } = await createRetained();
  await stages.timer.advance(KEPT_MILLISECONDS - CALL_MILLISECONDS);
  expect((await make(stages, coordinator, CHAIN)).length)
    .toEqual(CHAIN.pieces);
  expect(stages.repeats).toEqual(CHAIN.pieces);
});

// Guards against a stream that goes on with a part of its results.
test("all results of a stream are dropped when the maker of one is gone", async () => {
  const { stages, coordinator, results } = await createRetained();
  const others = await make(stages, coordinator, { attemptId: "b", pieces: 1 });
  const makerIds = new Set(results.map(({ makerId }) => makerId));
  const [gone = ""] = makerIds;
  stages.end(Number(gone.at(-1)));
  await stages.timer.advance(FREE_MILLISECONDS);
  expect(others.map(({ handle }) => stages.freed.includes(handle)))
    .toEqual([false]);
  expect(stages.freed.length)
    .toEqual(results.filter(({ makerId }) => makerId !== gone).length);
  const again = await make(stages, coordinator, CHAIN);
  expect(again.map(({ makerId }) => makerId).includes(gone)).toEqual(false);
  expect(stages.repeats).toEqual(CHAIN.pieces);
});

// Guards against results that nobody else can free.
test("a coordinator that reaches no endpoint retains nothing", async () => {
  const { stages, coordinator, results } = await createRetained();
  coordinator.abandonChains();
  await stages.timer.advance(FREE_MILLISECONDS);
  expect(stages.freed.length).toEqual(results.length);
});

// Guards against room that nobody counts after a coordinator was replaced.
test("a coordinator retains no results that another one counts", async () => {
  const { stages, results } = await createRetained();
  const successor = stages.createCoordinator();
  await make(stages, successor, { attemptId: "b", pieces: 1 });
  retain(successor, CHAIN, results);
  await stages.timer.advance(FREE_MILLISECONDS);
  expect(stages.freed.toSorted())
    .toEqual(results.map(({ handle }) => handle).toSorted());
});

// Guards against room that is kept for daemons that never ask for the results.
test("results of daemons of an earlier build are freed at the first event", async () => {
  const stages = new SharedStages();
  const coordinator = stages.createCoordinator();
  const results = await make(stages, coordinator, CHAIN);
  coordinator.release({ attemptId: CHAIN.attemptId, results });
  await stages.timer.advance(FREE_MILLISECONDS);
  expect(sum(stages.kept)).toEqual(0);
});

// Guards against room that results of killed daemons take from those that live.
test("retained results leave half of the room of each endpoint", async () => {
  const room = 100;
  const stages = new SharedStages({ room });
  const coordinator = stages.createCoordinator();
  for (let count = 0; count < 60; count++) {
    const chain = { attemptId: `a${count}`, pieces: 6 };
    void stages.make(coordinator, chain).then((outcome) => {
      if (outcome.type === "done") retain(coordinator, chain, outcome.results);
    });
    await stages.timer.advance(50);
  }
  await stages.timer.advance(CALL_MILLISECONDS);
  expect(Math.max(...stages.kept)).toBeLessThanOrEqual(room / 2);
  expect(Math.min(...stages.kept)).toBeGreaterThan(room / 4);
});

interface StreamLoad {
  readonly room: number;
  /** Time from one stream to the next, milliseconds. */
  readonly interval: number;
  /** Whether results are retained. */
  readonly mayGoOn: boolean;
  /** When the coordinator is killed and replaced; never by default. */
  readonly killedAt?: number;
}

interface StreamFigures {
  /** Outcomes of chains and when they ended. */
  readonly ends: readonly string[];
  /** Pieces for which there was no room. */
  readonly rejected: number;
}

async function playStreams(load: StreamLoad): Promise<StreamFigures> {
  const { room, interval, mayGoOn, killedAt = Infinity } = load;
  const freeMilliseconds = 50;
  const stages = new SharedStages({ room, freeMilliseconds });
  const { timer } = stages;
  let coordinator = stages.createCoordinator();
  const ends: string[] = [];
  const retained = new Set<readonly PieceResult[]>();
  const endRetention = (results: readonly PieceResult[]): void => {
    if (!retained.delete(results)) return;
    coordinator.release({ attemptId: "", results });
  };
  const serve = async (chain: SharedChain): Promise<void> => {
    const outcome = await stages.make(coordinator, chain);
    ends.push(`${chain.attemptId} ${outcome.type} at ${timer.now()}`);
    if (outcome.type !== "done") return;
    const { results } = outcome;
    const { attemptId } = chain;
    timer.registerTimeout(() => {
      if (!mayGoOn) return coordinator.release({ attemptId, results });
      retain(coordinator, chain, results);
      retained.add(results);
    }, FIRST_EVENT_MILLISECONDS);
    timer.registerTimeout(() => endRetention(results), STREAM_MILLISECONDS);
  };
  timer.registerTimeout(() => {
    coordinator = stages.createCoordinator();
    const known = [...retained];
    timer.registerTimeout(
      () => known.forEach(endRetention),
      NOTICED_MILLISECONDS,
    );
  }, killedAt);
  for (let count = 0; timer.now() < LOAD_MILLISECONDS; count++) {
    void serve({ attemptId: `a${count}`, pieces: 1 + count * 7 % 16 });
    await timer.advance(interval);
  }
  await timer.advance(LOAD_MILLISECONDS);
  return { ends, rejected: stages.rejected };
}

for (const room of [12, 18, 25, 40, 80, 200]) {
  for (const interval of [25, 40, 80]) {
    // Guards against chains that wait, are refused or find no room for results that nobody reads.
    test(`streams each ${interval} ms at a room of ${room} results are as fast as without retention`, async () => {
      const options = { room, interval };
      const before = await playStreams({ ...options, mayGoOn: false });
      const now = await playStreams({ ...options, mayGoOn: true });
      expect(now).toEqual(before);
    });
  }
}

for (const room of [25, 40, 80, 200]) {
  // Guards against a coordinator that finds the room taken by results that it doesn't know.
  test(`retained results leave a new coordinator a room of ${room} results`, async () => {
    const options = { room, interval: 40, killedAt: LOAD_MILLISECONDS / 2 };
    const before = await playStreams({ ...options, mayGoOn: false });
    const now = await playStreams({ ...options, mayGoOn: true });
    expect(now).toEqual(before);
  });
}
