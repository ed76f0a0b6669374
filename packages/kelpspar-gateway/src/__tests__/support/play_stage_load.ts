import type { RandomSource } from "kelpspar-shared";
import type { ChainStage } from "../../pieces/chain_request.ts";
import type {
  ForeignResults,
  SimulatedFault,
  SimulatedService,
  StageFigures,
} from "./simulated_stages.ts";
import type { ProcessorCost } from "./simulated_processor.ts";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { ActiveConfiguration } from "../../configuration/active_configuration.ts";
import { EndpointRateLimiter } from "../../endpoints/endpoint_rate_limiter.ts";
import { EndpointLimits } from "../../endpoints/endpoint_limits.ts";
import { EndpointRegistry } from "../../endpoints/endpoint_registry.ts";
import { PieceCoordinator } from "../../pieces/piece_coordinator.ts";
import { createRetryGate } from "./create_retry_gate.ts";
import { SimulatedProcessor } from "./simulated_processor.ts";
import { SimulatedStages } from "./simulated_stages.ts";

/** A kind of request of a load. */
export interface LoadKind {
  readonly name: string;
  readonly perSecond: number;
  readonly worth: number;
  readonly lateWorth: number;
  readonly objectiveMilliseconds: number;
  readonly deadlineMilliseconds: number;
  readonly priority: number;
  readonly stages: readonly ChainStage[];
  /** Pieces of each stage, drawn for one request; those of `stages` if absent. */
  readonly drawPieces?: (random: RandomSource) => readonly number[];
  /** Time of the request itself until its first event. */
  readonly tailMilliseconds: number;
}

/** A period in which one kind or all kinds arrive more often. */
export interface LoadBurst {
  readonly from: number;
  readonly until: number;
  readonly factor: number;
  readonly kind?: string;
}

/** Options of `playStageLoad`. */
export interface StageLoad {
  readonly seed: number;
  readonly milliseconds: number;
  readonly services: readonly SimulatedService[];
  readonly kinds: readonly LoadKind[];
  readonly bursts: readonly LoadBurst[];
  /** Requests of a kind that arrive together; default: 1. */
  readonly groupSize?: number;
  readonly faults?: readonly SimulatedFault[];
  /** Age of an endpoint's room report. */
  readonly roomLagMilliseconds?: number;
  readonly foreignResults?: ForeignResults;
  /** Processor time of the coordinator; default none. */
  readonly processorCost?: ProcessorCost;
  /** Whether endpoints report their load with answers; default: false. */
  readonly reportsLoad?: boolean;
}

/** Outcomes of a kind's requests. */
export interface KindFigures {
  asked: number;
  onTime: number;
  late: number;
  refused: number;
  /** Share of the requests' total worth that was earned. */
  worth: number;
}

/** Result of a played load. */
export interface LoadFigures {
  readonly worth: number;
  readonly kinds: Readonly<Record<string, KindFigures>>;
  readonly stages: StageFigures;
}

const STEP_MILLISECONDS = 5;
/** Share of its remaining time that a refused caller waits at most. */
const MAX_WAIT_SHARE = 1 / 3;

/**
 * Plays a seeded load on a coordinator and simulated endpoints. Callers retry
 * once after a refusal, after the given delay.
 */
export async function playStageLoad(load: StageLoad): Promise<LoadFigures> {
  const timer = new ManualTimer();
  const random = new SeededRandom(load.seed);
  const configuration = new ActiveConfiguration();
  const registry = new EndpointRegistry();
  const stagesOf = new Map<string, readonly ChainStage[]>();
  const client = new SimulatedStages({
    services: load.services,
    timer,
    random,
    faults: load.faults ?? [],
    roomLagMilliseconds: load.roomLagMilliseconds ?? 0,
    foreign: load.foreignResults ?? { from: 0, until: 0, share: 0 },
    onAnswer: (id, slowdown) => {
      if (load.reportsLoad !== true || !Number.isFinite(slowdown)) return;
      const report = { running: 0, waiting: 0, slots: 1, slowdown };
      registry.find(id)?.load.record(report, timer.now());
    },
    resultBytes: (attemptId, stage) =>
      stagesOf.get(attemptId)?.[stage]?.resultBytes ?? 0,
  });
  const log = { info: () => {}, warn: () => {} };
  const processor = new SimulatedProcessor(timer);
  const cost = load.processorCost ?? { chain: 0, refusal: 0 };
  const coordinator = new PieceCoordinator({
    isIsolated: () => false,
    loopDelay: processor,
    freeElsewhere: () => {},
    configuration,
    registry,
    client,
    rateLimiter: new EndpointRateLimiter({
      chooser: "coordinator",
      limits: new EndpointLimits(),
      configuration,
      random: new SeededRandom(2),
      senderCount: () => 1,
    }),
    timer,
    log,
    retryGate: createRetryGate(timer, { slack: 52 }),
  });
  configuration.applyIfNewer({
    version: 1,
    routes: [],
    services: load.services.map(({ name, terms }) => ({
      name,
      engineSlots: undefined,
      pieces: terms,
    })),
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
    accounts: undefined,
  });
  for (const { name, zones } of load.services) {
    for (const [index, zone] of zones.entries()) {
      registry.upsert({
        id: `${name}-${index}`,
        bornAt: 0,
        service: name,
        address: `${name}-${index}`,
        zone,
        slots: 1,
        isDraining: false,
      }, 0);
    }
  }
  const teardown = coordinator.register();
  const figures: Record<string, KindFigures> = {};
  let ids = 0;
  const ask = async (kind: LoadKind): Promise<void> => {
    const own = figures[kind.name] ??= {
      asked: 0,
      onTime: 0,
      late: 0,
      refused: 0,
      worth: 0,
    };
    own.asked++;
    const arrivedAt = timer.now();
    const pieceKey = `k${ids++}`;
    const pieces = kind.drawPieces?.(random);
    const stages = kind.stages.map((stage, number) => ({
      ...stage,
      pieces: pieces?.[number] ?? stage.pieces,
    }));
    for (let attempt = 0; attempt < 2; attempt++) {
      const age = timer.now() - arrivedAt;
      const left = kind.deadlineMilliseconds - age;
      const attemptId = `a${ids++}`;
      stagesOf.set(attemptId, stages);
      await processor.whenFree();
      const open = coordinator.openChains;
      const running = coordinator.run({
        attemptId,
        kind: kind.name,
        pieceKey,
        stages,
        remainingMilliseconds: left,
        objectiveMilliseconds: kind.objectiveMilliseconds,
        tailMilliseconds: kind.tailMilliseconds,
        priority: kind.priority,
      }, new AbortController().signal);
      const isAdmitted = coordinator.openChains > open;
      processor.use(isAdmitted ? cost.chain : cost.refusal);
      const outcome = await running;
      await processor.whenFree();
      if (outcome.type === "refused") {
        const wait = Math.min(
          outcome.retryAfterMilliseconds,
          left * MAX_WAIT_SHARE,
        );
        await new Promise<void>((resolve) =>
          timer.registerTimeout(resolve, wait)
        );
        continue;
      }
      await new Promise<void>((resolve) =>
        timer.registerTimeout(resolve, kind.tailMilliseconds)
      );
      coordinator.release({ attemptId, results: outcome.results });
      const isOnTime = timer.now() - arrivedAt <= kind.objectiveMilliseconds;
      if (isOnTime) own.onTime++;
      else own.late++;
      return;
    }
    own.refused++;
  };
  while (timer.now() < load.milliseconds) {
    for (const kind of load.kinds) {
      const factor = load.bursts.filter((burst) =>
        burst.from <= timer.now() && timer.now() < burst.until &&
        (burst.kind === undefined || burst.kind === kind.name)
      ).reduce((product, burst) => product * burst.factor, 1);
      const groupSize = load.groupSize ?? 1;
      const chance = kind.perSecond * factor * STEP_MILLISECONDS /
        (1_000 * groupSize);
      for (let left = chance; left > 0; left--) {
        if (random.next() >= left) continue;
        for (let asked = 0; asked < groupSize; asked++) void ask(kind);
      }
    }
    await timer.advance(STEP_MILLISECONDS);
  }
  await timer.advance(15_000);
  teardown();
  return summarize(load.kinds, figures, client.figures);
}

function summarize(
  kinds: readonly LoadKind[],
  figures: Readonly<Record<string, KindFigures>>,
  stages: StageFigures,
): LoadFigures {
  let earned = 0;
  let possible = 0;
  for (const kind of kinds) {
    const own = figures[kind.name];
    if (own === undefined) continue;
    const credit = own.onTime * kind.worth + own.late * kind.lateWorth;
    own.worth = credit / (own.asked * kind.worth);
    earned += credit;
    possible += own.asked * kind.worth;
  }
  return { worth: earned / possible, kinds: figures, stages };
}
