import type { Settings } from "../settings/settings_schema.ts";
import { build } from "hdr-histogram-js";
import { StatsD } from "hot-shots";

const LARGEST_MILLISECONDS = 3_600_000;
const PERCENTILES = [50, 95, 99] as const;

/** What a metric is told apart by. */
export type MetricTags = Readonly<Record<string, string>>;

/** A histogram's figures, milliseconds or whatever its name says. */
export interface HistogramSummary {
  readonly name: string;
  readonly tags: MetricTags;
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly maximum: number;
}

interface KeptHistogram {
  readonly name: string;
  readonly tags: MetricTags;
  readonly histogram: ReturnType<typeof build>;
}

/**
 * Counts and histograms by client account, class and stage: sent to StatsD as
 * they come, and kept here so that operators can ask for them.
 */
export class DaemonMetrics {
  readonly #client: StatsD | undefined;
  readonly #histograms = new Map<string, KeptHistogram>();
  readonly #counts = new Map<string, number>();

  constructor(settings: Settings["metrics"]) {
    if (settings.statsdAddress === undefined) return;
    this.#client = new StatsD({
      host: settings.statsdAddress,
      port: settings.statsdPort,
      prefix: settings.prefix,
      maxBufferSize: 1_400,
      // A metric that cannot be sent is lost; it never stops a request.
      errorHandler: () => {},
    });
  }

  count(name: string, tags: MetricTags): void {
    const key = keyOf(name, tags);
    this.#counts.set(key, (this.#counts.get(key) ?? 0) + 1);
    this.#client?.increment(name, 1, { ...tags });
  }

  /** Adds an amount to a histogram. */
  record(name: string, value: number, tags: MetricTags): void {
    this.#client?.distribution(name, value, { ...tags });
    const key = keyOf(name, tags);
    let kept = this.#histograms.get(key);
    if (kept === undefined) {
      const histogram = build({
        highestTrackableValue: LARGEST_MILLISECONDS,
        numberOfSignificantValueDigits: 2,
        bitBucketSize: 32,
      });
      kept = { name, tags, histogram };
      this.#histograms.set(key, kept);
    }
    const whole = Math.round(
      Math.min(LARGEST_MILLISECONDS, Math.max(0, value)),
    );
    kept.histogram.recordValue(whole);
  }

  /** How often `count` was called with these tags. */
  countOf(name: string, tags: MetricTags): number {
    return this.#counts.get(keyOf(name, tags)) ?? 0;
  }

  /** Every histogram kept here. */
  summaries(): readonly HistogramSummary[] {
    return [...this.#histograms.values()].map(({ name, tags, histogram }) => {
      const [p50, p95, p99] = PERCENTILES.map((percentile) =>
        histogram.getValueAtPercentile(percentile)
      );
      return {
        name,
        tags,
        count: histogram.totalCount,
        mean: histogram.mean,
        p50: p50 ?? 0,
        p95: p95 ?? 0,
        p99: p99 ?? 0,
        maximum: histogram.maxValue,
      };
    });
  }

  /** Sends what is left and closes the socket. */
  async close(): Promise<void> {
    const client = this.#client;
    if (client === undefined) return;
    await new Promise<void>((resolve) => client.close(() => resolve()));
  }
}

function keyOf(name: string, tags: MetricTags): string {
  return `${name}|${Object.values(tags).join("|")}`;
}
