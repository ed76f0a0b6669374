import type { Settings } from "../settings/settings_schema.ts";
import { build } from "hdr-histogram-js";
import { StatsD } from "hot-shots";

const HIGHEST_TRACKABLE_VALUE = 3_600_000;
const PERCENTILES = [50, 95, 99] as const;

/** The tags that identify a series of a metric. */
export type MetricTags = Readonly<Record<string, string>>;

/** Summary of a histogram, in the unit that its name states. */
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

interface TaggedHistogram {
  readonly name: string;
  readonly tags: MetricTags;
  readonly histogram: ReturnType<typeof build>;
}

/**
 * Counters and histograms by client account, class and stage. They are sent to
 * StatsD immediately and aggregated here for the operator API.
 */
export class DaemonMetrics {
  readonly #client: StatsD | undefined;
  readonly #histograms = new Map<string, TaggedHistogram>();
  readonly #counts = new Map<string, number>();

  constructor(settings: Settings["metrics"]) {
    if (settings.statsdAddress === undefined) return;
    this.#client = new StatsD({
      host: settings.statsdAddress,
      port: settings.statsdPort,
      prefix: settings.prefix,
      maxBufferSize: 1_400,
      // A metric that cannot be sent is dropped and never fails a request.
      errorHandler: () => {},
    });
  }

  count(name: string, tags: MetricTags): void {
    const key = toMetricKey(name, tags);
    this.#counts.set(key, (this.#counts.get(key) ?? 0) + 1);
    this.#client?.increment(name, 1, { ...tags });
  }

  /** Records a value in a histogram. */
  record(name: string, value: number, tags: MetricTags): void {
    this.#client?.distribution(name, value, { ...tags });
    const key = toMetricKey(name, tags);
    let entry = this.#histograms.get(key);
    if (entry === undefined) {
      const histogram = build({
        highestTrackableValue: HIGHEST_TRACKABLE_VALUE,
        numberOfSignificantValueDigits: 2,
        bitBucketSize: 32,
      });
      entry = { name, tags, histogram };
      this.#histograms.set(key, entry);
    }
    const rounded = Math.round(
      Math.min(HIGHEST_TRACKABLE_VALUE, Math.max(0, value)),
    );
    entry.histogram.recordValue(rounded);
  }

  /** The value of a counter. */
  counterValue(name: string, tags: MetricTags): number {
    return this.#counts.get(toMetricKey(name, tags)) ?? 0;
  }

  /** Summaries of all histograms. */
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

  /** Flushes buffered metrics and closes the socket. */
  async close(): Promise<void> {
    const client = this.#client;
    if (client === undefined) return;
    await new Promise<void>((resolve) => client.close(() => resolve()));
  }
}

function toMetricKey(name: string, tags: MetricTags): string {
  return `${name}|${Object.values(tags).join("|")}`;
}
