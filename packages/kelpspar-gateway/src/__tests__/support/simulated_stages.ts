import type { RandomSource, TimerService } from "kelpspar-shared";
import type { PieceTerms } from "../../configuration/service_definition.ts";
import type { EndpointEntry } from "../../endpoints/endpoint_entry.ts";
import type {
  PieceAnswer,
  PieceCall,
  PieceCallAnswer,
  PieceClient,
  ResultMaker,
  RoomReport,
} from "../../pieces/piece_call.ts";

/** A simulated stage service. */
export interface SimulatedService {
  readonly name: string;
  /** Zone of each endpoint. */
  readonly zones: readonly string[];
  readonly terms: PieceTerms;
}

/** A period in which an endpoint is slow or silent, milliseconds. */
export interface SimulatedFault {
  readonly endpointId: string;
  readonly from: number;
  readonly until: number;
  /** Factor on call times; infinite when silent. */
  readonly slowness: number;
}

/** A period in which another daemon's results take room at every endpoint. */
export interface ForeignResults {
  readonly from: number;
  readonly until: number;
  /** Share of the room. */
  readonly share: number;
}

interface Maker {
  readonly terms: PieceTerms;
  readonly kept: Map<string, number>;
  /** Times and the free room from then on, excluding foreign results. */
  readonly history: [number, number][];
  freeAt: number;
  /** Starts of calls. */
  readonly starts: number[];
}

/** Totals over all endpoints. */
export interface StageFigures {
  calls: number;
  pieces: number;
  workMilliseconds: number;
  turnedAway: number;
}

/** Stage endpoints in simulated time; each runs one call after the other. */
export class SimulatedStages implements PieceClient {
  readonly figures: StageFigures = {
    calls: 0,
    pieces: 0,
    workMilliseconds: 0,
    turnedAway: 0,
  };
  readonly #makers = new Map<string, Maker>();
  readonly #timer: TimerService;
  readonly #random: RandomSource;
  readonly #faults: readonly SimulatedFault[];
  readonly #resultBytes: (attemptId: string, stage: number) => number;
  readonly #roomLagMilliseconds: number;
  readonly #foreign: ForeignResults;
  readonly #onAnswer: (endpointId: string, slowness: number) => void;
  #made = 0;

  constructor(options: {
    readonly services: readonly SimulatedService[];
    readonly timer: TimerService;
    readonly random: RandomSource;
    readonly faults: readonly SimulatedFault[];
    /** Bytes of one result by the id of its request and its stage. */
    readonly resultBytes: (attemptId: string, stage: number) => number;
    readonly roomLagMilliseconds: number;
    readonly foreign: ForeignResults;
    /** Called before each answer with the endpoint's current slowness. */
    readonly onAnswer?: (endpointId: string, slowness: number) => void;
  }) {
    this.#onAnswer = options.onAnswer ?? ((): void => {});
    this.#timer = options.timer;
    this.#random = options.random;
    this.#faults = options.faults;
    this.#resultBytes = options.resultBytes;
    this.#roomLagMilliseconds = options.roomLagMilliseconds;
    this.#foreign = options.foreign;
    for (const { name, zones, terms } of options.services) {
      for (const index of zones.keys()) {
        this.#makers.set(`${name}-${index}`, {
          terms,
          kept: new Map(),
          history: [],
          freeAt: 0,
          starts: [],
        });
      }
    }
  }

  /** Number of results that an endpoint keeps. */
  keptAt(endpointId: string): number {
    return this.#makers.get(endpointId)?.kept.size ?? 0;
  }

  /** Reports the room as of `roomLagMilliseconds` ago. */
  readRoom(endpoint: EndpointEntry): Promise<RoomReport | undefined> {
    const maker = this.#makers.get(endpoint.id);
    if (maker === undefined) return Promise.resolve(undefined);
    const seenAt = this.#timer.now() - this.#roomLagMilliseconds;
    const seen = maker.history.findLast(([at]) => at <= seenAt);
    const unused = seen?.[1] ?? maker.terms.resultBytes;
    const freeBytes = unused - this.#foreignAt(maker, seenAt);
    const waitingCalls = maker.starts.filter((at) => at > this.#timer.now())
      .length;
    return Promise.resolve({
      freeBytes,
      waitingCalls,
      bornAt: endpoint.bornAt,
    });
  }

  freeResults(
    maker: ResultMaker,
    handles: readonly string[],
  ): Promise<boolean> {
    const kept = this.#makers.get(maker.id)?.kept;
    for (const handle of handles) kept?.delete(handle);
    this.#recordRoom(maker.id);
    return Promise.resolve(true);
  }

  runPieces(call: PieceCall): Promise<PieceCallAnswer> {
    call.onConnected();
    const maker = this.#makers.get(call.endpoint.id) as Maker;
    const now = this.#timer.now();
    const slowness = this.#slownessOf(call.endpoint.id, now);
    const work = (maker.terms.callMilliseconds +
      call.pieces.length * maker.terms.pieceMilliseconds *
        (0.8 + 0.4 * this.#random.next())) * slowness;
    return new Promise((resolve) => {
      call.signal.addEventListener(
        "abort",
        () =>
          resolve({
            type: "failed",
            isCertain: false,
            isSent: true,
            reason: "given up",
          }),
      );
      if (!Number.isFinite(work)) return;
      const start = Math.max(now, maker.freeAt);
      maker.freeAt = start + work;
      maker.starts.push(start);
      this.figures.calls++;
      this.figures.pieces += call.pieces.length;
      this.figures.workMilliseconds += work;
      const pieces = call.pieces.map(({ attemptId, stage }): PieceAnswer => {
        const bytes = this.#resultBytes(attemptId, stage);
        if (bytes > this.#roomOf(maker)) {
          this.figures.turnedAway++;
          return { type: "failed", failure: "no_room" };
        }
        const handle = `${call.endpoint.id}/${++this.#made}`;
        maker.kept.set(handle, bytes);
        this.#recordRoom(call.endpoint.id);
        return { type: "made", handle };
      });
      this.#timer.registerTimeout(() => {
        const { id } = call.endpoint;
        this.#onAnswer(id, this.#slownessOf(id, this.#timer.now()));
        resolve({ type: "answered", pieces });
      }, start + work - now);
    });
  }

  #recordRoom(endpointId: string): void {
    const maker = this.#makers.get(endpointId);
    maker?.history.push([this.#timer.now(), this.#unusedOf(maker)]);
  }

  #roomOf(maker: Maker): number {
    return this.#unusedOf(maker) - this.#foreignAt(maker, this.#timer.now());
  }

  #unusedOf(maker: Maker): number {
    const used = [...maker.kept.values()].reduce(
      (sum, bytes) => sum + bytes,
      0,
    );
    return maker.terms.resultBytes - used;
  }

  #foreignAt(maker: Maker, at: number): number {
    const { from, until, share } = this.#foreign;
    return from <= at && at < until ? share * maker.terms.resultBytes : 0;
  }

  #slownessOf(endpointId: string, now: number): number {
    const fault = this.#faults.find((one) =>
      one.endpointId === endpointId && one.from <= now && now < one.until
    );
    return fault?.slowness ?? 1;
  }
}
