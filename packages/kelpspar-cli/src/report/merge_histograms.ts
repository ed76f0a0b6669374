import type { HistogramRecord } from "./site_records.ts";
import { compareKeys } from "./compare_keys.ts";

/** A histogram merged from several daemons. */
export interface MergedHistogram {
  readonly name: string;
  readonly account: string;
  readonly class: string;
  readonly stage: string | undefined;
  /** The number of daemons with values. */
  readonly daemons: number;
  readonly count: number;
  /** The daemons' means weighted by count, which is the mean of all values. */
  readonly mean: number;
  /** Largest of the daemons: an upper bound of the whole's percentile. */
  readonly p50: number;
  /** Largest of the daemons: an upper bound of the whole's percentile. */
  readonly p95: number;
  /** Largest of the daemons: an upper bound of the whole's percentile. */
  readonly p99: number;
  readonly maximum: number;
}

/**
 * Merges the daemons' histograms that have the same name and tags. Percentiles
 * cannot be merged exactly, because the daemons send no buckets.
 */
export function mergeHistograms(
  records: readonly HistogramRecord[],
): readonly MergedHistogram[] {
  const merged = new Map<string, MergedHistogram>();
  for (const record of records) {
    if (record.count === 0) continue;
    const { account, class: className, stage } = record.tags;
    const key = JSON.stringify([record.name, account, className, stage]);
    const existing = merged.get(key);
    merged.set(
      key,
      existing === undefined
        ? toMergedHistogram(record)
        : addRecord(existing, record),
    );
  }
  return [...merged.values()].sort((left, right) =>
    compareKeys(keysOf(left), keysOf(right))
  );
}

function toMergedHistogram(record: HistogramRecord): MergedHistogram {
  const { name, tags, count, mean, p50, p95, p99, maximum } = record;
  return {
    name,
    account: tags.account,
    class: tags.class,
    stage: tags.stage,
    daemons: 1,
    count,
    mean,
    p50,
    p95,
    p99,
    maximum,
  };
}

function addRecord(
  existing: MergedHistogram,
  record: HistogramRecord,
): MergedHistogram {
  const count = existing.count + record.count;
  return {
    ...existing,
    daemons: existing.daemons + 1,
    count,
    mean: (existing.mean * existing.count + record.mean * record.count) / count,
    p50: Math.max(existing.p50, record.p50),
    p95: Math.max(existing.p95, record.p95),
    p99: Math.max(existing.p99, record.p99),
    maximum: Math.max(existing.maximum, record.maximum),
  };
}

function keysOf(histogram: MergedHistogram): readonly string[] {
  const { name, account, class: className, stage } = histogram;
  return [name, account, className, stage ?? ""];
}
