import type { RunnerArrival, WorstWindow } from "kelpspar-standins";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { findWorstWindow } from "kelpspar-standins";
import { RetryGate } from "../../retries/retry_gate.ts";
import { SlackBorrower } from "../../retries/slack_borrower.ts";
import { SlackLender } from "../../retries/slack_lender.ts";
import { StoreEra } from "../../tables/store_era.ts";
import { MemoryRowStore } from "./memory_row_store.ts";

const SERVICE = "s";
const STEP_MILLISECONDS = 50;
const MILLISECONDS_PER_SECOND = 1_000;
const MAXIMUM_PAUSE_MILLISECONDS = 4_000;
const MAXIMUM_AWAY_MILLISECONDS = 12_000;
const BACKUP_MILLISECONDS = 3_000;
const MAXIMUM_SENDS = 6;
/** Promises that follow each other in one reservation, with some to spare. */
const SETTLE_TURNS = 60;

/** A fleet whose daemons fail, pause and lose each other. */
export interface ReplayOptions {
  readonly seed: number;
  readonly daemons: number;
  readonly slack: number;
  readonly perSecond: number;
  readonly seconds: number;
  /** Share of sends that fail. */
  readonly share: number;
  /** Number of daemons that get requests; default all. */
  readonly loaded?: number;
  /** Faults a second; default 0. */
  readonly faultsPerSecond?: number;
  /** Daemons that run at first; one starts each 700 ms. Default all. */
  readonly first?: number;
}

/** What endpoints saw in a replay. */
export interface ReplayResult {
  readonly worst: WorstWindow;
  /** Calls to the store. */
  readonly storeCalls: number;
  readonly repeats: number;
  readonly requests: number;
}

/** One life of a daemon's process. */
interface Life {
  readonly gate: RetryGate;
  readonly lender: SlackLender;
}

interface Daemon {
  life: Life;
  pausedUntil: number;
  /** Whether it reaches other daemons. */
  isCut: boolean;
  /** Requests that arrived while it was paused. */
  backlog: number[];
}

/** Replays requests that endpoints fail, in a fleet with faults. */
export async function replayFleetRetries(
  options: ReplayOptions,
): Promise<ReplayResult> {
  return await new FleetReplay(options).run();
}

class FleetReplay {
  readonly #options: ReplayOptions;
  readonly #random: SeededRandom;
  // The rule's windows begin before the first request.
  readonly #timer = new ManualTimer({ startAt: 100_000 });
  readonly #store = new MemoryRowStore(this.#timer);
  readonly #daemons: Daemon[] = [];
  readonly #requests: number[] = [];
  readonly #arrivals: RunnerArrival[] = [];
  readonly #limits: {
    readonly ratio: number;
    readonly slack: number;
    readonly windowMilliseconds: number;
  };
  #storeBackAt = 0;
  #backup: ReturnType<MemoryRowStore["backup"]> = new Map();
  #backedUpAt = 0;

  constructor(options: ReplayOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.#limits = {
      ratio: 0.2,
      slack: options.slack,
      windowMilliseconds: 10_000,
    };
  }

  async run(): Promise<ReplayResult> {
    const { daemons, first = daemons, seconds, perSecond } = this.#options;
    for (let index = 0; index < first; index++) this.#start();
    await this.#daemons[0]?.life.lender.lend(SERVICE, 1);
    const steps = seconds * MILLISECONDS_PER_SECOND / STEP_MILLISECONDS;
    const perStep = perSecond * STEP_MILLISECONDS / MILLISECONDS_PER_SECOND;
    for (let step = 0; step < steps; step++) {
      this.#timer.jump(STEP_MILLISECONDS);
      const isDue = step % 14 === 0 && this.#daemons.length < daemons;
      if (isDue) this.#start();
      this.#injectFaults();
      this.#wakeDaemons();
      const count = Math.floor(perStep + this.#random.next());
      for (let number = 0; number < count; number++) this.#receive();
      for (let turn = 0; turn < SETTLE_TURNS; turn++) await Promise.resolve();
    }
    const records = { requests: this.#requests, arrivals: this.#arrivals };
    const keys = new Set(this.#arrivals.map(({ key }) => key));
    return {
      worst: findWorstWindow(this.#limits, records),
      storeCalls: this.#store.calls,
      repeats: this.#arrivals.length - keys.size,
      requests: this.#requests.length,
    };
  }

  #now(): number {
    return this.#timer.now();
  }

  #start(): void {
    const daemon: Daemon = {
      life: undefined as unknown as Life,
      pausedUntil: 0,
      isCut: false,
      backlog: [],
    };
    daemon.life = this.#createLife(daemon);
    this.#daemons.push(daemon);
  }

  #createLife(daemon: Daemon): Life {
    const timer = this.#timer;
    const limits = this.#limits;
    const fleetSize = (): number => daemon.isCut ? 1 : this.#daemons.length;
    const lender = new SlackLender({
      limits,
      fleetSize,
      timer,
      store: () => this.#store,
      era: new StoreEra({ timer, anomalies: { note: () => {} } }),
      log: { info: () => {}, warn: () => {} },
    });
    const idOf = (other: Daemon | undefined): string =>
      String(other === undefined ? "" : this.#daemons.indexOf(other));
    const findLender = (): Daemon =>
      daemon.isCut
        ? daemon
        : this.#daemons.find(({ isCut }) => !isCut) ?? daemon;
    const slack = new SlackBorrower({
      daemonId: idOf(daemon),
      lender: () => ({
        daemonId: idOf(findLender()),
        peer: idOf(findLender()),
        front: "",
        zone: "",
        cores: 1,
      }),
      local: lender,
      peers: {
        lendRetries: (peer, { service, count }) => {
          const other = this.#daemons[Number(peer)];
          return other === undefined || other.pausedUntil > this.#now()
            ? Promise.reject(new Error("No answer"))
            : other.life.lender.lend(service, count);
        },
      },
    });
    return { lender, gate: new RetryGate({ limits, slack, fleetSize, timer }) };
  }

  #injectFaults(): void {
    const { faultsPerSecond = 0 } = this.#options;
    this.#store.isAway = this.#now() < this.#storeBackAt;
    if (this.#now() - this.#backedUpAt > BACKUP_MILLISECONDS) {
      this.#backup = this.#store.backup();
      this.#backedUpAt = this.#now();
    }
    const share = faultsPerSecond * STEP_MILLISECONDS / MILLISECONDS_PER_SECOND;
    if (this.#random.next() >= share) return;
    const hit = this.#random.next();
    const targets = this.#daemons.filter(() => this.#random.next() < hit);
    const faults: readonly (() => void)[] = [
      () => targets.forEach((daemon) => this.#kill(daemon)),
      () => this.#daemons.forEach((daemon) => this.#kill(daemon)),
      () => targets.forEach((daemon) => this.#pause(daemon)),
      () => targets.forEach((daemon) => daemon.isCut = !daemon.isCut),
      () => {
        this.#storeBackAt = this.#now() +
          this.#random.next() * MAXIMUM_AWAY_MILLISECONDS;
      },
      () => this.#store.restore(this.#backup),
    ];
    faults[this.#random.nextInteger(faults.length)]?.();
  }

  #kill(daemon: Daemon): void {
    daemon.pausedUntil = 0;
    daemon.backlog = [];
    daemon.life = this.#createLife(daemon);
  }

  #pause(daemon: Daemon): void {
    daemon.pausedUntil = this.#now() +
      this.#random.next() * MAXIMUM_PAUSE_MILLISECONDS;
  }

  #wakeDaemons(): void {
    for (const daemon of this.#daemons) {
      const isAwake = daemon.pausedUntil <= this.#now();
      if (!isAwake || daemon.pausedUntil === 0) continue;
      daemon.pausedUntil = 0;
      daemon.life.gate.handlePause();
      for (const number of daemon.backlog) void this.#serve(daemon, number);
      daemon.backlog = [];
    }
  }

  #receive(): void {
    const { loaded = this.#daemons.length } = this.#options;
    const count = Math.min(loaded, this.#daemons.length);
    const daemon = this.#daemons[this.#random.nextInteger(count)];
    const number = this.#requests.push(this.#now());
    if (daemon === undefined) return;
    if (daemon.pausedUntil > this.#now()) daemon.backlog.push(number);
    else void this.#serve(daemon, number);
  }

  /** Sends a request until it is served, refused or its daemon is killed. */
  async #serve(daemon: Daemon, number: number): Promise<void> {
    const { life } = daemon;
    life.gate.recordRequest(SERVICE);
    for (let sends = 0; sends < MAXIMUM_SENDS; sends++) {
      this.#arrivals.push({ key: String(number), at: this.#now() });
      if (this.#random.next() >= this.#options.share) return;
      const outcome = await life.gate.spend({
        service: SERVICE,
        cause: "failed",
        priority: 0,
        deadlineAt: this.#now() + MILLISECONDS_PER_SECOND,
      });
      const isGone = daemon.life !== life || daemon.pausedUntil > this.#now();
      if (outcome === "refused" || isGone) return;
    }
  }
}
