import type { LoadReport, TimerService } from "kelpspar-shared";

/** Interval and delay of an engine's load reports. */
export interface LoadPublisherOptions {
  readonly timer: TimerService;
  readonly intervalMilliseconds: number;
  readonly lagMilliseconds: number;
  /** Measures the current load; the publisher adds the sequence number. */
  readonly measure: () => Omit<LoadReport, "sequence">;
}

/** Publishes load reports with a delay. */
export class LoadPublisher {
  readonly #options: LoadPublisherOptions;
  readonly #stopTimer: () => void;
  #published: LoadReport;
  #sequence = 1;

  constructor(options: LoadPublisherOptions) {
    this.#options = options;
    this.#published = { ...options.measure(), sequence: this.#sequence };
    this.#stopTimer = options.timer.registerInterval(
      () => this.#sample(),
      options.intervalMilliseconds,
    );
  }

  get published(): LoadReport {
    return this.#published;
  }

  close(): void {
    this.#stopTimer();
  }

  #sample(): void {
    const { timer, lagMilliseconds, measure } = this.#options;
    this.#sequence += 1;
    const report = { ...measure(), sequence: this.#sequence };
    timer.registerTimeout(() => {
      this.#published = report;
    }, lagMilliseconds);
  }
}
