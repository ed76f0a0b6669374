import type { LimitsConfiguration } from "kelpspar-configuration";
import type { RandomSource } from "kelpspar-shared";
import {
  Admission,
  ExpectedCalls,
  StageTimeEstimator,
} from "kelpspar-decisions/admission";
import { CostEstimator, FleetView } from "kelpspar-decisions/fairness";
import { HedgePolicy } from "kelpspar-decisions/hedging";
import { RetryBudget } from "kelpspar-decisions/retries";
import { EndpointRegistry, PrefixIndex } from "kelpspar-decisions/routing";

const DEFAULT_RETRY_SHARE = 0.1;
const DEFAULT_HEDGE_SHARE = 0.03;

/** Options of `createDecisionParts`. */
export interface DecisionPartsOptions {
  readonly incarnation: string;
  readonly availabilityZone: string;
  readonly random: RandomSource;
  readonly assumedConcurrency: (service: string) => number;
  /** Limits of the configuration in force; read at each decision. */
  readonly limits: () => LimitsConfiguration | undefined;
}

/** The decision logic of one daemon, shared by its components. */
export interface DecisionParts {
  readonly registry: EndpointRegistry;
  readonly prefixes: PrefixIndex;
  readonly costs: CostEstimator;
  readonly stageTimes: StageTimeEstimator;
  readonly expected: ExpectedCalls;
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
    expected: new ExpectedCalls(),
    admission: new Admission({
      estimator: stageTimes,
      random: options.random,
    }),
    retries: new RetryBudget({
      get share(): number {
        return options.limits()?.retryShare ?? DEFAULT_RETRY_SHARE;
      },
    }),
    hedges: new HedgePolicy({
      get share(): number {
        return options.limits()?.hedgeShare ?? DEFAULT_HEDGE_SHARE;
      },
    }),
    fleet: new FleetView({
      incarnation: options.incarnation,
      availabilityZone: options.availabilityZone,
    }),
  };
}
