import type { TimerService } from "kelpspar-shared";
import type { EndpointRegistry } from "../endpoints/endpoint_registry.ts";
import type { SlowReport } from "./slow_report.ts";

const PERCENT = 100;

/** Dependencies of `SlowReportExchange`. */
export interface SlowReportExchangeOptions {
  readonly registry: Pick<EndpointRegistry, "loads" | "find">;
  readonly timer: TimerService;
}

/** Reads and applies the reports of slowed endpoints in digests. */
export class SlowReportExchange {
  readonly #options: SlowReportExchangeOptions;

  constructor(options: SlowReportExchangeOptions) {
    this.#options = options;
  }

  /** The reports for a digest; undefined for none. */
  page(): SlowReport[] | undefined {
    const { registry, timer } = this.#options;
    const page = registry.loads.slowReports.page(timer.now());
    return page.length === 0 ? undefined : [...page];
  }

  /** Applies another daemon's reports that are newer than those known here. */
  merge(page: readonly SlowReport[] = []): void {
    const { registry, timer } = this.#options;
    const now = timer.now();
    for (const [id, bornAt, running, waiting, slots, percent, age] of page) {
      const state = registry.find(id);
      if (state?.entry.bornAt !== bornAt) continue;
      const report = { running, waiting, slots, slowdown: percent / PERCENT };
      state.load.record(report, now - age);
    }
  }
}
