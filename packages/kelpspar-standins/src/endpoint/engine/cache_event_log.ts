import type {
  CacheEvent,
  CacheEventPage,
  RandomSource,
  TimerService,
} from "kelpspar-shared";
import { drawBoolean } from "../../faults/delay.ts";

const MAXIMUM_EVENTS = 10_000;

/** Delay and loss of an engine's cache events. */
export interface CacheEventLogOptions {
  readonly incarnation: string;
  readonly timer: TimerService;
  readonly random: RandomSource;
  /** Delay of each event, milliseconds. */
  readonly delayMilliseconds: number;
  /** Share of events that are lost. */
  readonly gapShare: number;
}

/** Publishes cache events with a delay and gaps. */
export class CacheEventLog {
  readonly #options: CacheEventLogOptions;
  #sequence = 0;
  #published = 0;
  #events: CacheEvent[] = [];

  constructor(options: CacheEventLogOptions) {
    this.#options = options;
  }

  /** The latest sequence number, published or not. */
  get sequence(): number {
    return this.#sequence;
  }

  add(type: CacheEvent["type"], prefixHash: string): void {
    const { timer, random, delayMilliseconds, gapShare } = this.#options;
    this.#sequence += 1;
    const event = { sequence: this.#sequence, type, prefixHash };
    const isLost = drawBoolean(random, gapShare);
    timer.registerTimeout(
      () => this.#publish(event, isLost),
      delayMilliseconds,
    );
  }

  page(after: number): CacheEventPage {
    return {
      incarnation: this.#options.incarnation,
      events: this.#events.filter(({ sequence }) => sequence > after),
      lastSequence: this.#published,
    };
  }

  #publish(event: CacheEvent, isLost: boolean): void {
    this.#published = event.sequence;
    if (isLost) return;
    this.#events.push(event);
    if (this.#events.length > MAXIMUM_EVENTS) this.#events.shift();
  }
}
