import type { TimerService } from "kelpspar-shared";
import type { CompletionChoice } from "../../load/choose_by_completion.ts";
import { SeededRandom } from "kelpspar-shared";
import { SlowReportExchange } from "../../load/slow_report_exchange.ts";
import { chooseEndpoint } from "../../endpoints/choose_endpoint.ts";
import { EndpointRegistry } from "../../endpoints/endpoint_registry.ts";

const SERVICE = "service";
const ROUTE = "route";
/** One way, between a daemon and an endpoint. */
const NETWORK_MILLISECONDS = 1;
const MILLISECONDS_PER_SECOND = 1_000;

/** What an endpoint reports: its slowdown, three fields, or nothing. */
export type ReportKind = "slowdown" | "queue" | "none";

/** A load of plain calls on endpoints of one service. */
export interface PlainLoad {
  readonly daemons: number;
  /** Speeds of the endpoints, 1 being normal. */
  readonly speeds: readonly number[];
  readonly slots: number;
  /** Time of a call at normal speed; varies by a quarter either way. */
  readonly callMilliseconds: number;
  readonly perSecond: number;
  readonly seconds: number;
  /** Transient slowdown of an endpoint, 1 being none. */
  readonly slowdownAt: (endpoint: number, now: number) => number;
  /** What an endpoint reports at a time; default: its slowdown. */
  readonly reportAt?: (endpoint: number, now: number) => ReportKind;
  readonly choice?: CompletionChoice;
  /** Interval at which a daemon exchanges digests; default: never. */
  readonly exchangeMilliseconds?: number;
  readonly seed: number;
}

/** A request that was answered. */
export interface PlayedRequest {
  readonly endpoint: number;
  readonly sentAt: number;
  readonly milliseconds: number;
}

interface Job {
  readonly work: number;
  readonly done: () => void;
}

/** Runs events in the order of their time. */
class EventQueue {
  now = 0;
  readonly #events: { at: number; run: () => void }[] = [];

  after(milliseconds: number, run: () => void): void {
    const at = this.now + milliseconds;
    let low = 0;
    let high = this.#events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.#events[middle] as { at: number }).at <= at) high = middle;
      else low = middle + 1;
    }
    this.#events.splice(low, 0, { at, run });
  }

  run(): void {
    for (let next = this.#events.pop(); next; next = this.#events.pop()) {
      this.now = next.at;
      next.run();
    }
  }
}

/** An endpoint with slots and a queue; a slowdown applies to calls that start. */
class SimulatedEndpoint {
  running = 0;
  readonly waiting: Job[] = [];
  readonly #load: PlainLoad;
  readonly #events: EventQueue;
  readonly #index: number;

  constructor(load: PlainLoad, events: EventQueue, index: number) {
    [this.#load, this.#events, this.#index] = [load, events, index];
  }

  /** Service time relative to a normal one. */
  get slowness(): number {
    const slowdown = this.#load.slowdownAt(this.#index, this.#events.now);
    return slowdown / (this.#load.speeds[this.#index] as number);
  }

  get isFree(): boolean {
    return this.running < this.#load.slots;
  }

  submit(job: Job): void {
    this.waiting.push(job);
    this.#startNext();
  }

  #startNext(): void {
    if (!this.isFree) return;
    const job = this.waiting.shift();
    if (job === undefined) return;
    this.running++;
    this.#events.after(job.work * this.slowness, () => {
      this.running--;
      this.#startNext();
      job.done();
    });
  }
}

/** Sends each request when it arrives; `send` gets its work. */
function playArrivals(
  load: PlainLoad,
  events: EventQueue,
  send: (work: number, random: SeededRandom) => void,
): void {
  const random = new SeededRandom(load.seed);
  const arrive = (): void => {
    if (events.now > load.seconds * MILLISECONDS_PER_SECOND) return;
    send(load.callMilliseconds * (0.75 + random.next() / 2), random);
    const gap = -Math.log(1 - random.next()) / load.perSecond;
    events.after(gap * MILLISECONDS_PER_SECOND, arrive);
  };
  arrive();
  events.run();
}

/** Plays a load on daemons that choose endpoints by what they know. */
export function playPlainLoad(load: PlainLoad): readonly PlayedRequest[] {
  const events = new EventQueue();
  const endpoints = load.speeds.map((_, index) =>
    new SimulatedEndpoint(load, events, index)
  );
  const daemons = Array.from({ length: load.daemons }, () => {
    const registry = new EndpointRegistry();
    for (const index of endpoints.keys()) {
      registry.upsert({
        id: `${index}`,
        bornAt: 1,
        service: SERVICE,
        address: `10.0.0.${index}:80`,
        zone: "a",
        slots: load.slots,
        isDraining: false,
      }, 0);
    }
    return registry;
  });
  exchangeReports(load, events, daemons);
  const played: PlayedRequest[] = [];
  playArrivals(load, events, (work, random) => {
    const registry = daemons[random.nextInteger(daemons.length)];
    const sentAt = events.now;
    const state = chooseEndpoint({
      endpoints: registry?.availableFor(SERVICE) ?? [],
      tried: new Set(),
      zone: "a",
      affinity: undefined,
      random,
      now: sentAt,
      isWithinLimit: () => true,
      ...(load.choice === undefined ? {} : { completionChoice: load.choice }),
    })?.endpoint;
    if (state === undefined) throw new Error("No endpoint was chosen");
    const index = Number(state.entry.id);
    const endpoint = endpoints[index] as SimulatedEndpoint;
    state.inFlight++;
    const call = state.load.startCall(ROUTE, sentAt);
    const onAnswer = (): void => {
      const kind = load.reportAt?.(index, events.now) ?? "slowdown";
      const report = {
        running: endpoint.running,
        waiting: endpoint.waiting.length,
        slots: load.slots,
        slowdown: kind === "slowdown"
          ? load.slowdownAt(index, events.now)
          : undefined,
      };
      events.after(NETWORK_MILLISECONDS, () => {
        const { now } = events;
        if (kind !== "none") state.load.record(report, now);
        state.inFlight--;
        state.load.endCall(call, { isAnswered: true, now });
        played.push({ endpoint: index, sentAt, milliseconds: now - sentAt });
      });
    };
    events.after(
      NETWORK_MILLISECONDS,
      () => endpoint.submit({ work, done: onAnswer }),
    );
  });
  return played;
}

/** Each daemon exchanges reports of slowed endpoints with random others. */
function exchangeReports(
  { exchangeMilliseconds: interval, seconds, seed }: PlainLoad,
  events: EventQueue,
  daemons: readonly EndpointRegistry[],
): void {
  if (interval === undefined) return;
  const random = new SeededRandom(seed);
  const timer = { now: () => events.now } as unknown as TimerService;
  const exchanges = daemons.map((registry) =>
    new SlowReportExchange({ registry, timer })
  );
  for (const one of exchanges) {
    const exchange = (): void => {
      if (events.now > seconds * MILLISECONDS_PER_SECOND) return;
      const other = exchanges[random.nextInteger(exchanges.length)];
      other?.merge(one.page());
      one.merge(other?.page());
      events.after(interval, exchange);
    };
    events.after(random.next() * interval, exchange);
  }
}

/** A request of the ideal scheduler. */
interface QueuedRequest {
  readonly work: number;
  readonly sentAt: number;
}

/**
 * Plays a load on an ideal scheduler that knows all slowdowns and queues at any
 * time. Of two ways the one with the lower p99 is ideal: a single queue whose
 * first request starts at the fastest free slot, and a choice on arrival of the
 * endpoint that completes the request first.
 */
export function playIdealLoad(load: PlainLoad): readonly PlayedRequest[] {
  const played = [playIdeal(load, true), playIdeal(load, false)];
  const [left, right] = played.map((one) => quantile(one, 0.99));
  return (left as number) < (right as number)
    ? played[0] as readonly PlayedRequest[]
    : played[1] as readonly PlayedRequest[];
}

function playIdeal(
  load: PlainLoad,
  isSingleQueue: boolean,
): readonly PlayedRequest[] {
  const events = new EventQueue();
  const endpoints = load.speeds.map((_, index) =>
    new SimulatedEndpoint(load, events, index)
  );
  const queue: QueuedRequest[] = [];
  const played: PlayedRequest[] = [];
  const completionOf = ({ slowness, waiting }: SimulatedEndpoint): number =>
    slowness * (1 + waiting.length / load.slots);
  const startNext = (): void => {
    const best = endpoints.filter(({ isFree }) => isFree || !isSingleQueue)
      .sort((left, right) => {
        const busy = Number(left.isFree) - Number(right.isFree);
        return completionOf(left) - completionOf(right) || -busy;
      })[0];
    const next = best === undefined ? undefined : queue.shift();
    if (best === undefined || next === undefined) return;
    best.submit({
      work: next.work,
      done: () => {
        const milliseconds = events.now - next.sentAt +
          2 * NETWORK_MILLISECONDS;
        const endpoint = endpoints.indexOf(best);
        played.push({ endpoint, sentAt: next.sentAt, milliseconds });
        startNext();
      },
    });
  };
  playArrivals(load, events, (work) => {
    queue.push({ work, sentAt: events.now });
    startNext();
  });
  return played;
}

/** The time within which a share of the requests was answered, ms. */
export function quantile(
  played: readonly PlayedRequest[],
  share: number,
): number {
  const sorted = played.map(({ milliseconds }) => milliseconds)
    .sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length * share)] ?? 0;
}
