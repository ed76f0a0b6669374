import type { Measurement } from "./measurement.ts";
import { measureClaims } from "./measure_claims.ts";
import { measureConfiguration } from "./measure_configuration.ts";
import { measureDigests } from "./measure_digests.ts";
import { measureEndpoints } from "./measure_endpoints.ts";
import { measureFairness } from "./measure_fairness.ts";
import { measureMembership } from "./measure_membership.ts";
import { measureOrders } from "./measure_orders.ts";
import { measureDigestCoverage } from "./measure_digest_coverage.ts";

const MEASUREMENT_GROUPS: Readonly<
  Record<string, () => Iterable<Measurement>>
> = {
  endpoints: measureEndpoints,
  fairness: measureFairness,
  digests: measureDigests,
  membership: measureMembership,
  claims: measureClaims,
  configuration: measureConfiguration,
  orders: measureOrders,
  reach: measureDigestCoverage,
};

/** Runs every measurement; calls `onMeasured` for each and returns all. */
export function runCapacity(
  onMeasured: (measurement: Measurement) => void,
): readonly Measurement[] {
  const all: Measurement[] = [];
  for (const measureGroup of Object.values(MEASUREMENT_GROUPS)) {
    for (const measurement of measureGroup()) {
      onMeasured(measurement);
      all.push(measurement);
    }
  }
  return all;
}
