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
interface Recorded {
  readonly name: string;
  readonly tags: HistogramRecord["tags"];
  readonly values: readonly number[];
}

// Names that run into each other when they are joined without care.
const someName = fastCheck.constantFrom("a", "b", "a|a", 'a","a');
const someRecorded: fastCheck.Arbitrary<Recorded> = fastCheck.record({
  name: fastCheck.constantFrom("cost_runner_milliseconds", "cost_tokens"),
  tags: fastCheck.record({
    account: someName,
    class: someName,
    stage: someName,
  }),
  values: fastCheck.array(fastCheck.nat(1_000), { minLength: 0, maxLength: 8 }),
});
const someSite = fastCheck.array(someRecorded, {
  maxLength: 60,
  size: "max",
});

function rank(values: readonly number[], percentile: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.ceil(sorted.length * percentile / 100) - 1] ?? 0;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function summarize({ name, tags, values }: Recorded): HistogramRecord {
  return {
    name,
    tags,
    count: values.length,
    mean: values.length === 0 ? 0 : sum(values) / values.length,
    p50: rank(values, 50),
    p95: rank(values, 95),
    p99: rank(values, 99),
    maximum: rank(values, 100),
  };
}

/** The naive version: keeps every value and compares every tag. */
function poolOf(
  site: readonly Recorded[],
  wanted: Pick<Recorded, "name" | "tags">,
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

test("merged figures are those of all values, percentiles a bound of them", () => {
  fastCheck.assert(
    fastCheck.property(someSite, (site) => {
      const merged = mergeHistograms(site.map(summarize));
      expect(sum(merged.map(({ count }) => count)))
        .toEqual(sum(site.map(({ values }) => values.length)));
      for (const { name, account, class: className, stage, ...got } of merged) {
        const tags = { account, class: className, stage };
        const pools = poolOf(site, { name, tags });
        const values = pools.flat();
        expect([got.daemons, got.count, got.maximum])
          .toEqual([pools.length, values.length, rank(values, 100)]);
        expect(isNear(got.mean, sum(values) / values.length)).toEqual(true);
        for (
          const [key, percentile] of [["p50", 50], ["p95", 95], [
            "p99",
            99,
          ]] as const
        ) {
          expect(got[key])
            .toEqual(Math.max(...pools.map((pool) => rank(pool, percentile))));
          expect(got[key] >= rank(values, percentile)).toEqual(true);
        }
      }
    }),
    { seed: 1 },
  );
});

test("costs by stage add up to every value recorded", () => {
  fastCheck.assert(
    fastCheck.property(someSite, (site) => {
      const costs = computeStageCosts(mergeHistograms(site.map(summarize)));
      for (
        const { class: className, stage, ...got } of sumCostsByStage(costs)
      ) {
        const reached = new Set(
          costs.filter((cost) =>
            cost.class === className && cost.stage === stage
          ).map(({ account }) => account),
        );
        const valuesOf = (name: string): readonly number[] =>
          [...reached].flatMap((account) =>
            poolOf(site, { name, tags: { account, class: className, stage } })
              .flat()
          );
        const runner = valuesOf("cost_runner_milliseconds");
        const tokens = sum(valuesOf("cost_tokens"));
        expect(got.requests).toEqual(runner.length);
        expect(isNear(got.runnerMilliseconds, sum(runner))).toEqual(true);
        expect(isNear(got.tokens, tokens)).toEqual(true);
        expect(isNear(got.tokensPerRequest * runner.length, tokens))
          .toEqual(true);
      }
    }),
    { seed: 1 },
  );
});
