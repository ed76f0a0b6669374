import type { TimerService } from "kelpspar-shared";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { GatewayMetrics } from "../metrics/gateway_metrics.ts";

/** How often the delay of the event loop is sampled. */
const SAMPLE_MILLISECONDS = 250;
const SAMPLES_PER_REPORT = 4;
/** A report is logged from this delay on, */
const LOGGED_DELAY_MILLISECONDS = 50;
/** or from this share of the processor on. */
const LOGGED_PROCESSOR_SHARE = 0.5;

/** Dependencies of a `ProcessMonitor`. */
export interface ProcessMonitorOptions {
  readonly timer: TimerService;
  readonly log: GatewayLog;
  readonly metrics: Pick<GatewayMetrics, "setState">;
  /** Processor capacity of this process, cores. */
  readonly cores: number;
  /** Processor time that this process has used, milliseconds. */
  readonly processorMilliseconds: () => number;
  /** Connections that other daemons have opened to this one. */
  readonly acceptedConnections: () => number;
}

/** Totals at the start of a report. */
interface ProcessTotals {
  readonly at: number;
  readonly processorMilliseconds: number;
  readonly acceptedConnections: number;
}

/**
 * Reports the processor time that this process uses, the delay of its event
 * loop and the connections that other daemons open, once per second.
 */
export class ProcessMonitor {
  readonly #options: ProcessMonitorOptions;
  #totals: ProcessTotals;
  #sampledAt: number;
  #samples = 0;
  #maximumDelay = 0;

  constructor(options: ProcessMonitorOptions) {
    this.#options = options;
    this.#totals = this.#readTotals();
    this.#sampledAt = this.#totals.at;
  }

  /** Starts to sample; returns the teardown. */
  register(): () => void {
    this.#totals = this.#readTotals();
    this.#sampledAt = this.#totals.at;
    return this.#options.timer.registerInterval(
      () => this.#sample(),
      SAMPLE_MILLISECONDS,
    );
  }

  #sample(): void {
    const now = this.#options.timer.now();
    const delay = now - this.#sampledAt - SAMPLE_MILLISECONDS;
    this.#sampledAt = now;
    this.#maximumDelay = Math.max(this.#maximumDelay, delay);
    this.#samples++;
    if (this.#samples >= SAMPLES_PER_REPORT) this.#report();
  }

  #report(): void {
    const { log, metrics, cores } = this.#options;
    const before = this.#totals;
    const totals = this.#readTotals();
    const used = totals.processorMilliseconds - before.processorMilliseconds;
    const capacity = (totals.at - before.at) * cores;
    const processorShare = Number((used / capacity).toFixed(2));
    const loopDelayMilliseconds = Math.round(this.#maximumDelay);
    const newConnections = totals.acceptedConnections -
      before.acceptedConnections;
    this.#totals = totals;
    this.#samples = 0;
    this.#maximumDelay = 0;
    metrics.setState("processor_share", processorShare);
    metrics.setState("loop_delay_milliseconds", loopDelayMilliseconds);
    metrics.setState("accepted_connections", totals.acceptedConnections);
    const isLogged = processorShare >= LOGGED_PROCESSOR_SHARE ||
      loopDelayMilliseconds >= LOGGED_DELAY_MILLISECONDS;
    if (!isLogged) return;
    log.info("process load", {
      processorShare,
      loopDelayMilliseconds,
      newConnections,
    });
  }

  #readTotals(): ProcessTotals {
    const { timer, processorMilliseconds, acceptedConnections } = this.#options;
    return {
      at: timer.now(),
      processorMilliseconds: processorMilliseconds(),
      acceptedConnections: acceptedConnections(),
    };
  }
}
