import type { ActiveConfiguration } from "../../configuration/active_configuration.ts";
import type { ChainOutcome } from "../../pieces/chain_outcome.ts";
import type { PieceCall } from "../../pieces/piece_call.ts";
import { expect } from "earl";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { test } from "node:test";
import { EndpointRegistry } from "../../endpoints/endpoint_registry.ts";
import { EndpointRateLimiter } from "../../endpoints/endpoint_rate_limiter.ts";
import { EndpointLimits } from "../../endpoints/endpoint_limits.ts";
import { maxPlacementWait } from "../../pieces/max_placement_wait.ts";
import { LoopDelay } from "../../load/loop_delay.ts";
import { PieceCoordinator } from "../../pieces/piece_coordinator.ts";
import { createRetryGate } from "../support/create_retry_gate.ts";
import { configurationOf } from "../support/configuration_of.ts";
import { maximumInWindow } from "../support/play_limited_load.ts";

const LIMIT = 2;
const MODELS = 3;
const CALL_MILLISECONDS = 150;
const OBJECTIVE_MILLISECONDS = 1_500;
const PLAY_MILLISECONDS = 20_000;
const ASK_EVERY_MILLISECONDS = 50;
/** Most calls permitted in any four seconds. */
const MAX_IN_SPAN = 1.5 * 4 * LIMIT + 5;

interface Ended {
  readonly outcome: ChainOutcome;
  readonly tookMilliseconds: number;
}

interface Play {
  readonly ended: readonly Ended[];
  readonly callsAt: ReadonlyMap<string, readonly number[]>;
  readonly placedAt: ReadonlyMap<string, readonly number[]>;
}

/** Runs chains of one piece and a model; the endpoints in `limited` have limits. */
async function play(
  limited: readonly string[],
  pieces: number,
): Promise<Play> {
  const timer = new ManualTimer();
  const registry = new EndpointRegistry();
  const limits = new EndpointLimits();
  const configuration = configure();
  const ids = ["stage-0", "stage-1"];
  for (let index = 0; index < MODELS; index++) ids.push(`model-${index}`);
  for (const id of ids) {
    const service = id.slice(0, id.indexOf("-"));
    const entry = {
      id,
      bornAt: 1,
      service,
      address: id,
      zone: "a",
      slots: 1,
      isDraining: false,
    };
    registry.upsert(entry, 0);
    if (limited.includes(id)) limits.record(entry, LIMIT, 0);
  }
  const callsAt = new Map<string, number[]>();
  const placedAt = new Map<string, number[]>();
  const coordinator = new PieceCoordinator({
    loopDelay: new LoopDelay(timer),
    isIsolated: () => false,
    freeElsewhere: () => {},
    configuration,
    registry,
    timer,
    rateLimiter: new EndpointRateLimiter({
      chooser: "coordinator",
      configuration,
      limits,
      random: new SeededRandom(3),
      senderCount: () => 1,
    }),
    client: {
      runPieces: ({ endpoint, pieces }: PieceCall) => {
        record(callsAt, endpoint.id, timer.now());
        return new Promise((resolve) =>
          timer.registerTimeout(() =>
            resolve({
              type: "answered",
              pieces: pieces.map(({ attemptId, piece }) => ({
                type: "made",
                handle: `${endpoint.id}/${attemptId}.${piece}`,
              })),
            }), CALL_MILLISECONDS)
        );
      },
      freeResults: () => Promise.resolve(true),
      readRoom: () => Promise.resolve(undefined),
    },
    retryGate: createRetryGate(timer, { slack: 50 }),
    log: { info: () => {}, warn: () => {} },
  });
  coordinator.register();
  const ended: Ended[] = [];
  for (let asked = 0; timer.now() < PLAY_MILLISECONDS; asked++) {
    const startedAt = timer.now();
    const attemptId = `a${asked}`;
    void coordinator.run({
      attemptId,
      pieceKey: attemptId,
      kind: "one",
      stages: [{ service: "stage", after: [], resultBytes: 10, pieces }],
      reader: {
        service: "model",
        promptParts: [{ id: attemptId, tokens: 100 }],
      },
      remainingMilliseconds: 10_000,
      objectiveMilliseconds: OBJECTIVE_MILLISECONDS,
      tailMilliseconds: 200,
      priority: 0,
    }, new AbortController().signal).then((outcome) => {
      ended.push({ outcome, tookMilliseconds: timer.now() - startedAt });
      const place = outcome.type === "done" ? outcome.place : undefined;
      if (place !== undefined) record(placedAt, place.endpointId, timer.now());
      coordinator.release({
        attemptId,
        results: outcome.type === "done" ? outcome.results : [],
      });
    });
    await timer.advance(ASK_EVERY_MILLISECONDS);
  }
  return { ended, callsAt, placedAt };
}

function record(moments: Map<string, number[]>, id: string, at: number): void {
  moments.set(id, [...moments.get(id) ?? [], at]);
}

function configure(): ActiveConfiguration {
  return configurationOf([
    { name: "model", engineSlots: 8, pieces: undefined },
    {
      name: "stage",
      engineSlots: undefined,
      pieces: {
        batch: 4,
        slots: 1,
        callMilliseconds: CALL_MILLISECONDS,
        pieceMilliseconds: 1,
        resultBytes: 100_000,
        keptMilliseconds: 4_000,
      },
    },
  ]);
}

const MODEL_IDS = ["model-0", "model-1", "model-2"];

// Guards against running stages for requests that no model has capacity for.
test("chains over the limits of all models are refused at once", async () => {
  const { ended, placedAt } = await play(MODEL_IDS, 1);
  for (const id of MODEL_IDS) {
    expect(maximumInWindow(placedAt.get(id) ?? [])).toBeLessThanOrEqual(
      MAX_IN_SPAN,
    );
  }
  const refused = ended.filter(({ outcome }) => outcome.type === "refused");
  const late = refused.filter((one) => one.tookMilliseconds > 0);
  // Some may be refused late if a limit is lower than expected.
  expect(late.length).toBeLessThan(ended.length / 50);
  const done = ended.filter(({ outcome }) =>
    outcome.type === "done" && outcome.place !== undefined
  );
  // The coordinator uses half of the endpoints' total limit.
  const expectedCount = MODELS * LIMIT * PLAY_MILLISECONDS / 1_000 / 2;
  expect(done.length).toBeGreaterThan(expectedCount * 0.8);
  expect(done.every((one) => one.tookMilliseconds < OBJECTIVE_MILLISECONDS))
    .toEqual(true);
});

// Guards against requests without pieces that wait until their daemon times out.
test("requests over the limits are refused before their daemon stops waiting", async () => {
  const { ended } = await play(MODEL_IDS, 0);
  const refused = ended.filter(({ outcome }) => outcome.type === "refused");
  expect(refused.length).toBeGreaterThan(ended.length / 2);
  expect(ended.every((one) => one.tookMilliseconds < 100)).toEqual(true);
});

// Guards against piece calls that aren't counted towards the limit.
test("a stage endpoint gets no more calls than its limit", async () => {
  const { ended, callsAt } = await play(["stage-0"], 1);
  expect(maximumInWindow(callsAt.get("stage-0") ?? [])).toBeLessThanOrEqual(
    MAX_IN_SPAN,
  );
  expect((callsAt.get("stage-0") ?? []).length).toBeGreaterThan(20);
  expect(ended.every(({ outcome }) => outcome.type === "done")).toEqual(true);
});

// Guards against a wait that only delays a refusal.
test("a request waits for placement within its objective or half its remaining time", () => {
  const chain = { hasPieces: true, slack: 300, remaining: 9_000 };
  expect(maxPlacementWait(chain)).toEqual(300);
  expect(maxPlacementWait({ ...chain, slack: -10 })).toEqual(4_500);
  expect(maxPlacementWait({ ...chain, slack: -10, remaining: -5 })).toEqual(0);
  expect(maxPlacementWait({ ...chain, hasPieces: false })).toEqual(40);
});
