import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Bounds of the time histograms: from a plain call to a deadline. */
const LATENCY_BUCKETS_SECONDS = [
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

/** Measurements of one request. */
export interface RequestMeasurement {
  readonly account: string;
  readonly route: string;
  /** `served`, `refused`, `failed` or `abandoned`. */
  readonly outcome: string;
  readonly seconds: number;
  /** Time to the first byte of the answer; undefined without an answer. */
  readonly firstByteSeconds: number | undefined;
}

/** Counters and histograms by client account and route. */
export class GatewayMetrics {
  readonly #registry = new Registry();
  readonly #requests = new Counter({
    name: "kelpspar_requests_total",
    help: "Requests by client account, route and outcome",
    labelNames: ["account", "route", "outcome"],
    registers: [this.#registry],
  });
  readonly #requestSeconds = new Histogram({
    name: "kelpspar_request_seconds",
    help: "Time until the end of the answer",
    labelNames: ["account", "route"],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.#registry],
  });
  readonly #firstByteSeconds = new Histogram({
    name: "kelpspar_first_byte_seconds",
    help: "Time until the first byte of the answer",
    labelNames: ["account", "route"],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.#registry],
  });
  readonly #endpointCalls = new Counter({
    name: "kelpspar_endpoint_calls_total",
    help: "Calls to endpoints by service and how they ended",
    labelNames: ["service", "outcome"],
    registers: [this.#registry],
  });
  readonly #cutAnswers = new Counter({
    name: "kelpspar_cut_answers_total",
    help: "Answers of endpoints that weren't whole, by who ended them and why",
    labelNames: ["service", "ended_by", "cause"],
    registers: [this.#registry],
  });
  readonly #brokenAnswers = new Counter({
    name: "kelpspar_broken_answers_total",
    help: "Answers that were broken off at the caller, by reason",
    labelNames: ["service", "reason"],
    registers: [this.#registry],
  });
  readonly #stalledStreams = new Counter({
    name: "kelpspar_stalled_streams_total",
    help: "Streams whose endpoint was silent for long, by what followed",
    labelNames: ["service", "outcome"],
    registers: [this.#registry],
  });
  readonly #failoverRefusals = new Counter({
    name: "kelpspar_failover_refusals_total",
    help: "Searches for another endpoint of a stalled stream, by what lacked",
    labelNames: ["service", "reason"],
    registers: [this.#registry],
  });
  readonly #retries = new Counter({
    name: "kelpspar_retries_total",
    help: "Requests and pieces to be sent again, by service, cause and outcome",
    labelNames: ["service", "cause", "outcome"],
    registers: [this.#registry],
  });
  readonly #firstSends = new Counter({
    name: "kelpspar_first_sends_total",
    help: "Requests of callers and first sends of pieces, by service",
    labelNames: ["service", "kind"],
    registers: [this.#registry],
  });
  readonly #sendsOverLimit = new Counter({
    name: "kelpspar_sends_over_limit_total",
    help: "Requests sent to an endpoint although a limit forbids it",
    labelNames: ["service", "limit"],
    registers: [this.#registry],
  });
  readonly #suspectSends = new Counter({
    name: "kelpspar_suspect_sends_total",
    help:
      "Requests sent with a prompt part that endpoints crashed on, by reason",
    labelNames: ["service", "reason"],
    registers: [this.#registry],
  });
  readonly #quarantineChanges = new Counter({
    name: "kelpspar_quarantine_changes_total",
    help: "Requests and prompt parts that were quarantined or released",
    labelNames: ["subject", "change"],
    registers: [this.#registry],
  });
  readonly #anomalies = new Counter({
    name: "kelpspar_anomalies_total",
    help: "What should not happen and harms nothing, by kind",
    labelNames: ["anomaly"],
    registers: [this.#registry],
  });
  readonly #malformedAnswers = new Counter({
    name: "kelpspar_malformed_answers_total",
    help: "Connections closed for bytes that are no answer",
    labelNames: ["sender", "reason"],
    registers: [this.#registry],
  });
  readonly #callerCuts = new Counter({
    name: "kelpspar_caller_cuts_total",
    help: "Bodies and answers of callers that were given up or refused",
    labelNames: ["what", "reason"],
    registers: [this.#registry],
  });
  readonly #connections = new Gauge({
    name: "kelpspar_connections",
    help: "Open connections of callers by listener",
    labelNames: ["listener"],
    registers: [this.#registry],
  });
  readonly #closedConnections = new Counter({
    name: "kelpspar_connections_closed_total",
    help: "Connections of callers closed to protect others, by reason",
    labelNames: ["listener", "reason"],
    registers: [this.#registry],
  });
  readonly #stateGauge = new Gauge({
    name: "kelpspar_state",
    help: "Configuration version, endpoints, daemons and chains known now",
    labelNames: ["what"],
    registers: [this.#registry],
  });

  countRequest(measurement: RequestMeasurement): void {
    const { account, route, outcome } = measurement;
    this.#requests.inc({ account, route, outcome });
    this.#requestSeconds.observe({ account, route }, measurement.seconds);
    if (measurement.firstByteSeconds === undefined) return;
    this.#firstByteSeconds.observe(
      { account, route },
      measurement.firstByteSeconds,
    );
  }

  countAnomaly(anomaly: string): void {
    this.#anomalies.inc({ anomaly });
  }

  countEndpointCall(service: string, outcome: string): void {
    this.#endpointCalls.inc({ service, outcome });
  }

  countCutAnswer({ service, endedBy, cause }: {
    readonly service: string;
    /** `daemon` or `endpoint`. */
    readonly endedBy: string;
    readonly cause: string;
  }): void {
    this.#cutAnswers.inc({ service, ended_by: endedBy, cause });
  }

  countBrokenAnswer(service: string, reason: string): void {
    this.#brokenAnswers.inc({ service, reason });
  }

  countStalledStream(
    service: string,
    outcome: "resumed" | "replaced" | "ended",
  ): void {
    this.#stalledStreams.inc({ service, outcome });
  }

  countFailoverRefusal(service: string, reason: string): void {
    this.#failoverRefusals.inc({ service, reason });
  }

  countRetries({ count, ...labels }: {
    readonly service: string;
    readonly cause: string;
    /** `allowed` or `refused`. */
    readonly outcome: string;
    readonly count: number;
  }): void {
    this.#retries.inc(labels, count);
  }

  countFirstSends({ count, ...labels }: {
    readonly service: string;
    readonly kind: "request" | "piece";
    readonly count: number;
  }): void {
    if (count > 0) this.#firstSends.inc(labels, count);
  }

  countSendOverLimit(service: string, limit: string): void {
    this.#sendsOverLimit.inc({ service, limit });
  }

  countSuspectSend(service: string, reason: string): void {
    this.#suspectSends.inc({ service, reason });
  }

  countQuarantineChange(
    subject: "request" | "parts",
    change: "quarantined" | "released",
  ): void {
    this.#quarantineChanges.inc({ subject, change });
  }

  countMalformedAnswer(sender: string, reason: string): void {
    this.#malformedAnswers.inc({ sender, reason });
  }

  countCallerCut(what: string, reason: string): void {
    this.#callerCuts.inc({ what, reason });
  }

  countClosedConnection(listener: string, reason: string): void {
    this.#closedConnections.inc({ listener, reason });
  }

  setConnections(listener: string, count: number): void {
    this.#connections.set({ listener }, count);
  }

  setState(what: string, value: number): void {
    this.#stateGauge.set({ what }, value);
  }

  /** Renders the metrics in the Prometheus text format. */
  render(): Promise<string> {
    return this.#registry.metrics();
  }
}
