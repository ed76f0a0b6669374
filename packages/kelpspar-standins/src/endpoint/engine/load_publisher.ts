import type { LoadReport, TimerService } from "kelpspar-shared";

/** How an engine's load reports are taken and shown. */
export interface LoadPublisherOptions {
  readonly timer: TimerService;
  readonly everyMilliseconds: number;
  readonly lagMilliseconds: number;
  /** The load as it stands; the publisher numbers it. */
  readonly measure: () => Omit<LoadReport, "sequence">;
}

/** Shows load reports that were taken a while ago. */
export class LoadPublisher {
  readonly #options: LoadPublisherOptions;
  readonly #stopTimer: () => void;
  #shown: LoadReport;
  #sequence = 1;

  constructor(options: LoadPublisherOptions) {
    this.#options = options;
    this.#shown = { ...options.measure(), sequence: this.#sequence };
    this.#stopTimer = options.timer.registerInterval(
      () => this.#take(),
      options.everyMilliseconds,
    );
  }

  get shown(): LoadReport {
    return this.#shown;
  }

  close(): void {
    this.#stopTimer();
  }

  #take(): void {
    const { timer, lagMilliseconds, measure } = this.#options;
    this.#sequence += 1;
    const report = { ...measure(), sequence: this.#sequence };
    timer.registerTimeout(() => {
      this.#shown = report;
    }, lagMilliseconds);
  }
}
