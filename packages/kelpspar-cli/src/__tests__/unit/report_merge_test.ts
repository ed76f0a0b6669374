import type { HistogramRecord } from "../../report/site_records.ts";
import { test } from "node:test";
import { expect } from "earl";
import * as fastCheck from "fast-check";
import { mergeHistograms } from "../../report/merge_histograms.ts";
import {
  computeStageCosts,
  sumCostsByStage,
} from "../../report/stage_costs.ts";

/** The values that one daemon recorded under one name and one set of tags. */
interface Recording {
  readonly name: string;
  readonly tags: HistogramRecord["tags"];
  readonly values: readonly number[];
}

// Names that collide if they are joined with a separator.
const arbitraryName = fastCheck.constantFrom("a", "b", "a|a", 'a","a');
const arbitraryRecording: fastCheck.Arbitrary<Recording> = fastCheck.record({
  name: fastCheck.constantFrom("cost_runner_milliseconds", "cost_tokens"),
  tags: fastCheck.record({
    account: arbitraryName,
    class: arbitraryName,
    stage: arbitraryName,
  }),
  values: fastCheck.array(fastCheck.nat(1_000), { minLength: 0, maxLength: 8 }),
});
const arbitrarySite = fastCheck.array(arbitraryRecording, {
  maxLength: 60,
  size: "max",
});

function percentileOf(values: readonly number[], percentile: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.ceil(sorted.length * percentile / 100) - 1] ?? 0;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function summarize({ name, tags, values }: Recording): HistogramRecord {
  return {
    name,
    tags,
    count: values.length,
    mean: values.length === 0 ? 0 : sum(values) / values.length,
    p50: percentileOf(values, 50),
    p95: percentileOf(values, 95),
    p99: percentileOf(values, 99),
    maximum: percentileOf(values, 100),
  };
}

/** Reference implementation: keeps every value and compares every tag. */
function valuesByDaemon(
  site: readonly Recording[],
  wanted: Pick<Recording, "name" | "tags">,
): readonly (readonly number[])[] {
  const { account, class: className, stage } = wanted.tags;
  return site.filter(({ name, tags }) =>
    name === wanted.name && tags.account === account &&
    tags.class === className && tags.stage === stage
  ).map(({ values }) => values).filter((values) => values.length > 0);
}

function isNear(left: number, right: number): boolean {
  return Math.abs(left - right) <= 1e-9 * Math.max(1, Math.abs(right));
}

test("merged figures equal those of all values, and percentiles are upper bounds", () => {
  fastCheck.assert(
    fastCheck.property(arbitrarySite, (site) => {
      const merged = mergeHistograms(site.map(summarize));
      expect(sum(merged.map(({ count }) => count)))
        .toEqual(sum(site.map(({ values }) => values.length)));
      for (
        const { name, account, class: className, stage, ...figures } of merged
      ) {
        const tags = { account, class: className, stage };
        const pools = valuesByDaemon(site, { name, tags });
        const values = pools.flat();
        expect([figures.daemons, figures.count, figures.maximum])
          .toEqual([pools.length, values.length, percentileOf(values, 100)]);
        expect(isNear(figures.mean, sum(values) / values.length)).toEqual(true);
        for (
          const [key, percentile] of [["p50", 50], ["p95", 95], [
            "p99",
            99,
          ]] as const
        ) {
          expect(figures[key])
            .toEqual(
              Math.max(...pools.map((pool) => percentileOf(pool, percentile))),
            );
          expect(figures[key] >= percentileOf(values, percentile)).toEqual(
            true,
          );
        }
      }
    }),
    { seed: 1 },
  );
});

test("costs by stage sum to all recorded values", () => {
  fastCheck.assert(
    fastCheck.property(arbitrarySite, (site) => {
      const costs = computeStageCosts(mergeHistograms(site.map(summarize)));
      for (
        const { class: className, stage, ...figures } of sumCostsByStage(costs)
      ) {
        const reached = new Set(
          costs.filter((cost) =>
            cost.class === className && cost.stage === stage
          ).map(({ account }) => account),
        );
        const valuesOf = (name: string): readonly number[] =>
          [...reached].flatMap((account) =>
            valuesByDaemon(site, {
              name,
              tags: { account, class: className, stage },
            })
              .flat()
          );
        const runner = valuesOf("cost_runner_milliseconds");
        const tokens = sum(valuesOf("cost_tokens"));
        expect(figures.requests).toEqual(runner.length);
        expect(isNear(figures.runnerMilliseconds, sum(runner))).toEqual(true);
        expect(isNear(figures.tokens, tokens)).toEqual(true);
        expect(isNear(figures.tokensPerRequest * runner.length, tokens))
          .toEqual(true);
      }
    }),
    { seed: 1 },
  );
});
