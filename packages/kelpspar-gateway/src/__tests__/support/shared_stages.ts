import type { PieceCall, PieceCallAnswer } from "../../pieces/piece_call.ts";
import type { ForeignResults, SimulatedFault } from "./simulated_stages.ts";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { ActiveConfiguration } from "../../configuration/active_configuration.ts";
import { EndpointLimits } from "../../endpoints/endpoint_limits.ts";
import { EndpointRateLimiter } from "../../endpoints/endpoint_rate_limiter.ts";
import { EndpointRegistry } from "../../endpoints/endpoint_registry.ts";
import { LoopDelay } from "../../load/loop_delay.ts";
import { PieceCoordinator } from "../../pieces/piece_coordinator.ts";
import { createRetryGate } from "./create_retry_gate.ts";
import { MemoryRowStore } from "./memory_row_store.ts";
import { SimulatedStages } from "./simulated_stages.ts";

/** The stage service of `SharedStages`. */
export const SHARED_SERVICE = "rerank";
const ENDPOINTS = 4;
const DAEMONS = 8;
const SLACK = 56;
const RESULT_BYTES = 1_000;
const DEADLINE_MILLISECONDS = 10_000;

/** Options of `SharedStages`. */
export interface SharedStagesOptions {
  readonly faults?: readonly SimulatedFault[];
  readonly foreign?: ForeignResults;
  /** Number of results that an endpoint holds; default more than any test. */
  readonly room?: number;
}

/** Counts the pieces that reach an endpoint again, whoever sends them. */
class CountingStages extends SimulatedStages {
  repeats = 0;
  readonly #seen = new Set<string>();

  override runPieces(call: PieceCall): Promise<PieceCallAnswer> {
    for (const { attemptId, piece } of call.pieces) {
      const key = `${attemptId}/${piece}`;
      if (this.#seen.has(key)) this.repeats++;
      this.#seen.add(key);
    }
    return super.runPieces(call);
  }
}

/** Coordinators that don't know of each other and share stage endpoints. */
export class SharedStages {
  readonly timer = new ManualTimer();
  /** Outcomes of chains in order of their end. */
  readonly outcomes: string[] = [];
  readonly #client: CountingStages;
  readonly #terms;
  readonly #store = new MemoryRowStore(this.timer);

  constructor(
    {
      faults = [],
      foreign = { from: 0, until: 0, share: 0 },
      room = 10_000,
    }: SharedStagesOptions = {},
  ) {
    this.#terms = {
      batch: 18,
      slots: 1,
      callMilliseconds: 150,
      pieceMilliseconds: 8,
      resultBytes: room * RESULT_BYTES,
      keptMilliseconds: 4_000,
    };
    this.#client = new CountingStages({
      services: [{
        name: SHARED_SERVICE,
        zones: new Array<string>(ENDPOINTS).fill("a"),
        terms: this.#terms,
      }],
      timer: this.timer,
      random: new SeededRandom(1),
      faults,
      roomLagMilliseconds: 0,
      foreign,
      resultBytes: () => RESULT_BYTES,
    });
  }

  /** Pieces that reached an endpoint again. */
  get repeats(): number {
    return this.#client.repeats;
  }

  createCoordinator(): PieceCoordinator {
    const { timer } = this;
    const configuration = new ActiveConfiguration();
    const registry = new EndpointRegistry();
    const coordinator = new PieceCoordinator({
      loopDelay: new LoopDelay(timer),
      isIsolated: () => false,
      freeElsewhere: () => {},
      configuration,
      registry,
      client: this.#client,
      rateLimiter: new EndpointRateLimiter({
        chooser: "coordinator",
        limits: new EndpointLimits(),
        configuration,
        random: new SeededRandom(2),
        senderCount: () => 1,
      }),
      timer,
      retryGate: createRetryGate(timer, {
        slack: SLACK,
        daemons: DAEMONS,
        store: this.#store,
      }),
      log: { info: () => {}, warn: () => {} },
    });
    configuration.applyIfNewer({
      version: 1,
      routes: [],
      services: [{
        name: SHARED_SERVICE,
        engineSlots: undefined,
        pieces: this.#terms,
      }],
      limits: {
        headerBytes: 1,
        bodyBytes: 1,
        headerTimeoutMilliseconds: 1,
        idleTimeoutMilliseconds: 1,
      },
      accounts: undefined,
    });
    for (let index = 0; index < ENDPOINTS; index++) {
      const id = `${SHARED_SERVICE}-${index}`;
      registry.upsert({
        id,
        bornAt: 0,
        service: SHARED_SERVICE,
        address: id,
        zone: "a",
        slots: 1,
        isDraining: false,
      }, 0);
    }
    coordinator.register();
    return coordinator;
  }

  /** Runs a chain of one stage and frees its results. */
  async run(
    coordinator: PieceCoordinator,
    { attemptId, pieces }: {
      readonly attemptId: string;
      readonly pieces: number;
    },
  ): Promise<void> {
    const outcome = await coordinator.run({
      attemptId,
      pieceKey: attemptId,
      stages: [{
        service: SHARED_SERVICE,
        after: [],
        resultBytes: RESULT_BYTES,
        pieces,
      }],
      remainingMilliseconds: DEADLINE_MILLISECONDS,
      objectiveMilliseconds: DEADLINE_MILLISECONDS,
      kind: "model",
      tailMilliseconds: 100,
      priority: 0,
    }, new AbortController().signal);
    this.outcomes.push(outcome.type);
    if (outcome.type !== "done") return;
    coordinator.release({ attemptId, results: outcome.results });
  }
}
