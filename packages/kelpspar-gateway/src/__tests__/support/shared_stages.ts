import type { ChainOutcome } from "../../pieces/chain_outcome.ts";
import type { ChainRequest } from "../../pieces/chain_request.ts";
import type {
  PieceCall,
  PieceCallAnswer,
  ResultMaker,
} from "../../pieces/piece_call.ts";
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
  /** The fleet's retry slack. */
  readonly slack?: number;
  /** Time until an endpoint has freed results; default 0. */
  readonly freeMilliseconds?: number;
}

/** A chain of one stage. */
export interface SharedChain {
  readonly attemptId: string;
  readonly pieces: number;
  /** Default the attempt's id. */
  readonly pieceKey?: string;
}

/** Counts the pieces that reach an endpoint again, whoever sends them. */
class CountingStages extends SimulatedStages {
  repeats = 0;
  /** Handles in the order in which they were freed. */
  readonly freed: string[] = [];
  beforeFree = (): Promise<void> => Promise.resolve();
  readonly #seen = new Set<string>();

  override runPieces(call: PieceCall): Promise<PieceCallAnswer> {
    for (const { attemptId, piece } of call.pieces) {
      const key = `${attemptId}/${piece}`;
      if (this.#seen.has(key)) this.repeats++;
      this.#seen.add(key);
    }
    return super.runPieces(call);
  }

  override async freeResults(
    maker: ResultMaker,
    handles: readonly string[],
  ): Promise<boolean> {
    this.freed.push(...handles);
    await this.beforeFree();
    return await super.freeResults(maker, handles);
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
  readonly #slack: number;
  readonly #registries: EndpointRegistry[] = [];

  constructor(
    {
      faults = [],
      foreign = { from: 0, until: 0, share: 0 },
      room = 10_000,
      slack = SLACK,
      freeMilliseconds = 0,
    }: SharedStagesOptions = {},
  ) {
    this.#slack = slack;
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
    if (freeMilliseconds === 0) return;
    this.#client.beforeFree = () =>
      new Promise((resolve) => {
        this.timer.registerTimeout(resolve, freeMilliseconds);
      });
  }

  /** Pieces that reached an endpoint again. */
  get repeats(): number {
    return this.#client.repeats;
  }

  /** Pieces for which an endpoint had no room. */
  get rejected(): number {
    return this.#client.figures.turnedAway;
  }

  get freed(): readonly string[] {
    return this.#client.freed;
  }

  /** Number of results at each endpoint. */
  get kept(): readonly number[] {
    return Array.from(
      { length: ENDPOINTS },
      (_, index) => this.#client.keptAt(endpointId(index)),
    );
  }

  /** Has all coordinators learn that an endpoint has ended. */
  end(index: number): void {
    for (const registry of this.#registries) {
      registry.retire({ id: endpointId(index), bornAt: 0 });
    }
  }

  createCoordinator(): PieceCoordinator {
    const { timer } = this;
    const configuration = new ActiveConfiguration();
    const registry = new EndpointRegistry();
    this.#registries.push(registry);
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
        slack: this.#slack,
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
      const id = endpointId(index);
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
    chain: SharedChain,
  ): Promise<void> {
    const outcome = await this.make(coordinator, chain);
    if (outcome.type !== "done") return;
    const { attemptId } = chain;
    coordinator.release({ attemptId, results: outcome.results });
  }

  /** Runs a chain of one stage. */
  async make(
    coordinator: PieceCoordinator,
    chain: SharedChain,
  ): Promise<ChainOutcome> {
    const outcome = await coordinator.run(
      requestOf(chain),
      new AbortController().signal,
    );
    this.outcomes.push(outcome.type);
    return outcome;
  }
}

/** The request of a chain of one stage. */
export function requestOf(
  { attemptId, pieces, pieceKey = attemptId }: SharedChain,
): ChainRequest {
  return {
    attemptId,
    pieceKey,
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
  };
}

function endpointId(index: number): string {
  return `${SHARED_SERVICE}-${index}`;
}
