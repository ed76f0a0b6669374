import type { RandomSource } from "kelpspar-shared";
import { Admission, StageTimeEstimator } from "kelpspar-decisions/admission";
import { CostEstimator, FleetView } from "kelpspar-decisions/fairness";
import { HedgePolicy } from "kelpspar-decisions/hedging";
import { RetryBudget } from "kelpspar-decisions/retries";
import { EndpointRegistry, PrefixIndex } from "kelpspar-decisions/routing";

/** Who the daemon is, and the limits in force. */
export interface DecisionPartsOptions {
  readonly incarnation: string;
  readonly availabilityZone: string;
  readonly random: RandomSource;
  readonly assumedConcurrency: (service: string) => number;
}

/** The decision logic of one daemon, shared by the parts that ask it. */
export interface DecisionParts {
  readonly registry: EndpointRegistry;
  readonly prefixes: PrefixIndex;
  readonly costs: CostEstimator;
  readonly stageTimes: StageTimeEstimator;
  readonly admission: Admission;
  readonly retries: RetryBudget;
  readonly hedges: HedgePolicy;
  readonly fleet: FleetView;
}

/** Creates the decision logic of one daemon. */
export function createDecisionParts(
  options: DecisionPartsOptions,
): DecisionParts {
  const stageTimes = new StageTimeEstimator();
  return {
    registry: new EndpointRegistry({
      assumedConcurrency: options.assumedConcurrency,
    }),
    prefixes: new PrefixIndex(),
    costs: new CostEstimator(),
    stageTimes,
    admission: new Admission({
      estimator: stageTimes,
      random: options.random,
    }),
    retries: new RetryBudget(),
    hedges: new HedgePolicy(),
    fleet: new FleetView({
      incarnation: options.incarnation,
      availabilityZone: options.availabilityZone,
    }),
  };
}
