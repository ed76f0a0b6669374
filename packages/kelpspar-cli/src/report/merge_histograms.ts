import type { HistogramRecord } from "./site_records.ts";
import { compareKeys } from "./compare_keys.ts";

/** A histogram of several daemons. */
export interface MergedHistogram {
  readonly name: string;
  readonly account: string;
  readonly class: string;
  readonly stage: string | undefined;
  /** How many daemons had values. */
  readonly daemons: number;
  readonly count: number;
  /** Weighted by count, so it is the mean of all values. */
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
 * Merges the histograms of all daemons that have the same name and tags.
 * Percentiles cannot be merged exactly, since the daemons send no buckets.
 */
export function mergeHistograms(
  records: readonly HistogramRecord[],
): readonly MergedHistogram[] {
  const merged = new Map<string, MergedHistogram>();
  for (const record of records) {
    if (record.count === 0) continue;
    const { account, class: className, stage } = record.tags;
    const key = JSON.stringify([record.name, account, className, stage]);
    const known = merged.get(key);
    merged.set(key, known === undefined ? begin(record) : add(known, record));
  }
  return [...merged.values()].sort((left, right) =>
    compareKeys(keysOf(left), keysOf(right))
  );
}

function begin(record: HistogramRecord): MergedHistogram {
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

function add(known: MergedHistogram, record: HistogramRecord): MergedHistogram {
  const count = known.count + record.count;
  return {
    ...known,
    daemons: known.daemons + 1,
    count,
    mean: (known.mean * known.count + record.mean * record.count) / count,
    p50: Math.max(known.p50, record.p50),
    p95: Math.max(known.p95, record.p95),
    p99: Math.max(known.p99, record.p99),
    maximum: Math.max(known.maximum, record.maximum),
  };
}

function keysOf(histogram: MergedHistogram): readonly string[] {
  const { name, account, class: className, stage } = histogram;
  return [name, account, className, stage ?? ""];
}
