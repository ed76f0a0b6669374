import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Bounds of the time histograms, seconds: from a plain call to a deadline. */
const TIME_BUCKETS = [
  0.01,
  0.025,
  0.05,
  0.1,
  0.2,
  0.4,
  0.8,
  1.2,
  1.6,
  2,
  3,
  5,
  8,
  15,
];

/** One request as metrics see it. */
export interface RequestMeasure {
  readonly account: string;
  readonly route: string;
  /** How it ended: `served`, `refused`, `failed`, `abandoned`. */
  readonly outcome: string;
  readonly seconds: number;
  /** Until the first byte of the answer; undefined when there was none. */
  readonly firstByteSeconds: number | undefined;
}

/** Counters and histograms by client account and route, as text. */
export class GatewayMetrics {
  readonly #registry = new Registry();
  readonly #requests = new Counter({
    name: "kelpspar_requests_total",
    help: "Requests by client account, route and outcome",
    labelNames: ["account", "route", "outcome"],
    registers: [this.#registry],
  });
  readonly #seconds = new Histogram({
    name: "kelpspar_request_seconds",
    help: "Time until the end of the answer",
    labelNames: ["account", "route"],
    buckets: TIME_BUCKETS,
    registers: [this.#registry],
  });
  readonly #firstByte = new Histogram({
    name: "kelpspar_first_byte_seconds",
    help: "Time until the first byte of the answer",
    labelNames: ["account", "route"],
    buckets: TIME_BUCKETS,
    registers: [this.#registry],
  });
  readonly #endpointCalls = new Counter({
    name: "kelpspar_endpoint_calls_total",
    help: "Calls to endpoints by service and how they ended",
    labelNames: ["service", "outcome"],
    registers: [this.#registry],
  });
  readonly #anomalies = new Counter({
    name: "kelpspar_anomalies_total",
    help: "What should not happen and harms nothing, by kind",
    labelNames: ["anomaly"],
    registers: [this.#registry],
  });
  readonly #gauges = new Gauge({
    name: "kelpspar_state",
    help: "Configuration version, endpoints, daemons and chains known now",
    labelNames: ["what"],
    registers: [this.#registry],
  });

  countRequest(measure: RequestMeasure): void {
    const { account, route, outcome } = measure;
    this.#requests.inc({ account, route, outcome });
    this.#seconds.observe({ account, route }, measure.seconds);
    if (measure.firstByteSeconds === undefined) return;
    this.#firstByte.observe({ account, route }, measure.firstByteSeconds);
  }

  countAnomaly(anomaly: string): void {
    this.#anomalies.inc({ anomaly });
  }

  countCall(service: string, outcome: string): void {
    this.#endpointCalls.inc({ service, outcome });
  }

  setState(what: string, value: number): void {
    this.#gauges.set({ what }, value);
  }

  /** The metrics in Prometheus' text format. */
  render(): Promise<string> {
    return this.#registry.metrics();
  }
}
