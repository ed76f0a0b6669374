import type { RandomSource } from "kelpspar-shared";
import type { ChainStage } from "../../pieces/chain_request.ts";
import type {
  ForeignResults,
  SimulatedFault,
  SimulatedService,
  StageFigures,
} from "./simulated_stages.ts";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { ConfigurationKeeper } from "../../configuration/configuration_keeper.ts";
import { EndpointRateLimiter } from "../../endpoints/endpoint_rate_limiter.ts";
import { EndpointLimits } from "../../endpoints/endpoint_limits.ts";
import { EndpointRegistry } from "../../endpoints/endpoint_registry.ts";
import { PieceCoordinator } from "../../pieces/piece_coordinator.ts";
import { ServiceRetryBudget } from "../../retries/service_retry_budget.ts";
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

/** A time in which a kind, or all, come more often. */
export interface LoadBurst {
  readonly from: number;
  readonly until: number;
  readonly factor: number;
  readonly kind?: string;
}

/** What is played. */
export interface StageLoad {
  readonly seed: number;
  readonly milliseconds: number;
  readonly services: readonly SimulatedService[];
  readonly kinds: readonly LoadKind[];
  readonly bursts: readonly LoadBurst[];
  /** Requests of a kind that come together, on the mean; 1 if absent. */
  readonly clump?: number;
  readonly faults?: readonly SimulatedFault[];
  /** How old an endpoint's word of its room is. */
  readonly roomLagMilliseconds?: number;
  readonly foreignResults?: ForeignResults;
}

/** What became of a kind's requests. */
export interface KindFigures {
  asked: number;
  onTime: number;
  late: number;
  refused: number;
  /** Share of the worth that was asked for. */
  worth: number;
}

/** What a load came to. */
export interface LoadFigures {
  readonly worth: number;
  readonly kinds: Readonly<Record<string, KindFigures>>;
  readonly stages: StageFigures;
}

const STEP_MILLISECONDS = 5;
/** After a refusal a caller waits at most this share of its time. */
const MOST_WAIT_SHARE = 1 / 3;

/**
 * Plays a seeded load on a coordinator and simulated endpoints. Callers come
 * back once after a refusal, when they were told to.
 */
export async function playStageLoad(load: StageLoad): Promise<LoadFigures> {
  const timer = new ManualTimer();
  const random = new SeededRandom(load.seed);
  const configuration = new ConfigurationKeeper();
  const book = new EndpointRegistry();
  const stagesOf = new Map<string, readonly ChainStage[]>();
  const client = new SimulatedStages({
    services: load.services,
    timer,
    random,
    faults: load.faults ?? [],
    roomLagMilliseconds: load.roomLagMilliseconds ?? 0,
    foreign: load.foreignResults ?? { from: 0, until: 0, share: 0 },
    resultBytes: (attemptId, stage) =>
      stagesOf.get(attemptId)?.[stage]?.resultBytes ?? 0,
  });
  const log = { info: () => {}, warn: () => {} };
  const coordinator = new PieceCoordinator({
    configuration,
    book,
    client,
    gate: new EndpointRateLimiter({
      chooser: "coordinator",
      limits: new EndpointLimits(),
      configuration,
      random: new SeededRandom(2),
      sharers: () => 1,
    }),
    timer,
    log,
    budget: new ServiceRetryBudget({
      ratio: 0.2,
      slack: 52,
      windowMilliseconds: 10_000,
    }),
  });
  configuration.offer({
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
      book.upsert({
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
      const outcome = await coordinator.run({
        attemptId,
        kind: kind.name,
        pieceKey,
        stages,
        remainingMilliseconds: left,
        objectiveMilliseconds: kind.objectiveMilliseconds,
        tailMilliseconds: kind.tailMilliseconds,
        priority: kind.priority,
      }, new AbortController().signal);
      if (outcome.type === "refused") {
        const wait = Math.min(
          outcome.retryAfterMilliseconds,
          left * MOST_WAIT_SHARE,
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
      const clump = load.clump ?? 1;
      const chance = kind.perSecond * factor * STEP_MILLISECONDS /
        (1_000 * clump);
      if (random.next() >= chance) continue;
      for (let asked = 0; asked < clump; asked++) void ask(kind);
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
  let owed = 0;
  for (const kind of kinds) {
    const own = figures[kind.name];
    if (own === undefined) continue;
    const credit = own.onTime * kind.worth + own.late * kind.lateWorth;
    own.worth = credit / (own.asked * kind.worth);
    earned += credit;
    owed += own.asked * kind.worth;
  }
  return { worth: earned / owed, kinds: figures, stages };
}
