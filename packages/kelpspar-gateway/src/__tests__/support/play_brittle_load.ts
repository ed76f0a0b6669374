import type { EndpointState } from "../../endpoints/endpoint_state.ts";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { ActiveConfiguration } from "../../configuration/active_configuration.ts";
import { BrittleServices } from "../../endpoints/brittle_services.ts";
import { ConcurrencyLimiter } from "../../endpoints/concurrency_limiter.ts";
import { EndpointRegistry } from "../../endpoints/endpoint_registry.ts";

const SERVICE = "plain";
const MILLISECONDS_PER_SECOND = 1_000;
const OBJECTIVE_MILLISECONDS = 1_000;
const LONGEST_WAIT_MILLISECONDS = OBJECTIVE_MILLISECONDS / 2;
/** Requests that may wait at an endpoint whose slots are in use. */
const ENDPOINT_QUEUE = 1;
const FAILURE_MILLISECONDS = 3_000;

/** A load on brittle endpoints of a plain service. */
export interface BrittleLoad {
  readonly daemons: number;
  readonly endpoints: number;
  readonly slots: number;
  readonly callMilliseconds: number;
  readonly refusalsPerSecond: number;
  /** Load relative to what the endpoints carry. */
  readonly load: number;
  readonly seconds: number;
  readonly seed: number;
}

/** Outcome of a `BrittleLoad`. */
export interface BrittleOutcome {
  readonly failures: number;
  readonly served: number;
  /** Requests that the endpoints carry in the time of the load. */
  readonly carried: number;
}

interface SimulatedEndpoint {
  running: number;
  readonly waiting: (() => void)[];
  refusedAt: number[];
  downUntil: number;
}

interface SimulatedDaemon {
  readonly registry: EndpointRegistry;
  readonly limiter: ConcurrencyLimiter;
}

/** Plays a load in virtual time. */
export async function playBrittleLoad(
  options: BrittleLoad,
): Promise<BrittleOutcome> {
  return await new BrittlePlay(options).run();
}

class BrittlePlay {
  readonly #options: BrittleLoad;
  readonly #timer = new ManualTimer();
  readonly #random: SeededRandom;
  readonly #endpoints = new Map<string, SimulatedEndpoint>();
  readonly #daemons = new Map<string, SimulatedDaemon>();
  #failures = 0;
  #served = 0;

  constructor(options: BrittleLoad) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    const names = Array.from(
      { length: options.daemons },
      (_, index) => `d${index}`,
    );
    for (const name of names) {
      this.#daemons.set(name, this.#createDaemon(name, names));
    }
  }

  async run(): Promise<BrittleOutcome> {
    const { endpoints, slots, callMilliseconds, load, seconds } = this.#options;
    const perSecond = endpoints * slots * MILLISECONDS_PER_SECOND /
      callMilliseconds;
    const carried = perSecond * seconds;
    const arrivals: Promise<void>[] = [];
    const names = [...this.#daemons.keys()];
    for (let count = 0; count < carried * load; count++) {
      const name = names[this.#random.nextInteger(names.length)] ?? "";
      arrivals.push(this.#arrive(name));
      const gap = -Math.log(1 - this.#random.next()) / (perSecond * load);
      await this.#timer.advance(gap * MILLISECONDS_PER_SECOND);
    }
    await this.#timer.advance(OBJECTIVE_MILLISECONDS);
    await Promise.all(arrivals);
    return { failures: this.#failures, served: this.#served, carried };
  }

  #createDaemon(daemonId: string, names: readonly string[]): SimulatedDaemon {
    const { endpoints, slots, refusalsPerSecond } = this.#options;
    const registry = new EndpointRegistry();
    for (let index = 0; index < endpoints; index++) {
      const id = `i${index}`;
      const address = `10.0.0.${index}:80`;
      registry.upsert({
        id,
        bornAt: 0,
        service: SERVICE,
        address,
        zone: "a",
        slots,
        isDraining: false,
      }, 0);
      this.#endpoints.set(id, {
        running: 0,
        waiting: [],
        refusedAt: [],
        downUntil: 0,
      });
    }
    // Endpoints report it with each answer.
    const brittle = new BrittleServices();
    const report = (): boolean =>
      brittle.record(SERVICE, refusalsPerSecond, this.#timer.now());
    report();
    this.#timer.registerInterval(report, MILLISECONDS_PER_SECOND);
    const limiter = new ConcurrencyLimiter({
      configuration: new ActiveConfiguration(),
      registry,
      brittle,
      daemonId,
      senders: () => names,
      timer: this.#timer,
      random: this.#random,
    });
    return { registry, limiter };
  }

  async #arrive(name: string): Promise<void> {
    const { limiter } = this.#daemons.get(name) ?? {};
    const holders = [...limiter?.quotaHolders(SERVICE) ?? []];
    const holder = holders[this.#random.nextInteger(holders.length || 1)];
    const daemon = this.#daemons.get(holder ?? name);
    if (daemon !== undefined) await this.#serve(daemon);
  }

  async #serve(daemon: SimulatedDaemon): Promise<void> {
    const { limiter } = daemon;
    const endsAt = this.#timer.now() + LONGEST_WAIT_MILLISECONDS;
    const tried = new Set<EndpointState>();
    for (;;) {
      const endpoint = this.#choose(daemon, tried);
      if (endpoint !== undefined) {
        tried.add(endpoint);
        if (await this.#call(limiter, endpoint)) {
          this.#served++;
          return;
        }
        continue;
      }
      const isWoken = await limiter.waitForSlot({
        service: SERVICE,
        callMilliseconds: this.#options.callMilliseconds,
        maximumMilliseconds: endsAt - this.#timer.now(),
        signal: new AbortController().signal,
      });
      if (!isWoken) return;
    }
  }

  #choose(
    { registry, limiter }: SimulatedDaemon,
    tried: ReadonlySet<EndpointState>,
  ): EndpointState | undefined {
    const now = this.#timer.now();
    return registry.availableFor(SERVICE)
      .filter((endpoint) =>
        !tried.has(endpoint) && endpoint.isHealthy(now) &&
        limiter.mayStart(endpoint)
      )
      .sort((left, right) => left.inFlight - right.inFlight)[0];
  }

  /** Whether the endpoint served the call. */
  async #call(
    limiter: ConcurrencyLimiter,
    endpoint: EndpointState,
  ): Promise<boolean> {
    const { slots, callMilliseconds } = this.#options;
    const simulated = this.#endpoints.get(endpoint.entry.id);
    if (simulated === undefined) return false;
    const now = this.#timer.now();
    if (now < simulated.downUntil) {
      endpoint.failed(true, now);
      return false;
    }
    const open = simulated.running + simulated.waiting.length;
    if (open >= slots + ENDPOINT_QUEUE) {
      this.#refuse(simulated);
      limiter.recordRefusal(endpoint);
      return false;
    }
    endpoint.inFlight++;
    const endCall = limiter.startCall(endpoint);
    if (simulated.running >= slots) {
      await new Promise<void>((resolve) => simulated.waiting.push(resolve));
    } else simulated.running++;
    await new Promise<void>((resolve) =>
      this.#timer.registerTimeout(resolve, callMilliseconds)
    );
    // The next one takes over the slot.
    const next = simulated.waiting.shift();
    if (next === undefined) simulated.running--;
    else next();
    endpoint.inFlight--;
    endCall(true);
    return true;
  }

  #refuse(endpoint: SimulatedEndpoint): void {
    const now = this.#timer.now();
    endpoint.refusedAt = endpoint.refusedAt.filter((at) =>
      now - at < MILLISECONDS_PER_SECOND
    );
    endpoint.refusedAt.push(now);
    if (endpoint.refusedAt.length <= this.#options.refusalsPerSecond) return;
    this.#failures++;
    endpoint.refusedAt = [];
    endpoint.downUntil = now + FAILURE_MILLISECONDS;
  }
}
