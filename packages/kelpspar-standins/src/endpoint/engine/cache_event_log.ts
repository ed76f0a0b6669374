import type {
  CacheEvent,
  CacheEventPage,
  RandomSource,
  TimerService,
} from "kelpspar-shared";
import { happens } from "../../faults/delay.ts";

const MOST_EVENTS = 10_000;

/** How an engine's cache events come. */
export interface CacheEventLogOptions {
  readonly incarnation: string;
  readonly timer: TimerService;
  readonly random: RandomSource;
  /** How late events come, milliseconds. */
  readonly delayMilliseconds: number;
  /** Share of the events that never come. */
  readonly gapShare: number;
}

/** Publishes cache events late and with gaps. */
export class CacheEventLog {
  readonly #options: CacheEventLogOptions;
  #sequence = 0;
  #published = 0;
  #events: CacheEvent[] = [];

  constructor(options: CacheEventLogOptions) {
    this.#options = options;
  }

  /** The newest sequence, published or not. */
  get sequence(): number {
    return this.#sequence;
  }

  add(type: CacheEvent["type"], prefixHash: string): void {
    const { timer, random, delayMilliseconds, gapShare } = this.#options;
    this.#sequence += 1;
    const event = { sequence: this.#sequence, type, prefixHash };
    const isLost = happens(random, gapShare);
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
    if (this.#events.length > MOST_EVENTS) this.#events.shift();
  }
}
