import type { EndpointRole, RandomSource } from "kelpspar-shared";

/** Looks up the endpoints that have a prompt prefix cached. */
export interface PrefixHolders {
  /** Ids of the endpoints that hold `prefixHash`; may be out of date. */
  holders(prefixHash: string): readonly string[];
}

/** Trade-off between load, zone and cached prefixes. */
export interface ChoiceWeights {
  /** Utilization in the local zone from which other zones are considered. */
  readonly spillUtilization: number;
  /** Minimum by which another zone's utilization must be lower. */
  readonly spillDifference: number;
  /** Maximum extra utilization accepted for a cached prefix. */
  readonly affinityDifference: number;
  /** Ratio of load to the mean up to which a prefix stays on its endpoint. */
  readonly boundedLoadFactor: number;
  /** Utilization up to which an endpoint always accepts its own prefixes. */
  readonly ownPrefixUtilization: number;
}

/** Default `ChoiceWeights`. */
export const DEFAULT_CHOICE_WEIGHTS: ChoiceWeights = {
  spillUtilization: 0.9,
  spillDifference: 0.2,
  affinityDifference: 0.5,
  boundedLoadFactor: 1.25,
  ownPrefixUtilization: 0.5,
};

/** A call that needs an endpoint. */
export interface ChooseOptions {
  readonly service: string;
  /** Absent for plain services. */
  readonly model?: string;
  readonly adapter?: string;
  /** Identifies the prompt's shared prefix. */
  readonly prefixHash?: string;
  /** The required role in generation; default any role. */
  readonly role?: EndpointRole;
  /** The preferred zone. */
  readonly zone: string;
  /** Monotonic milliseconds. */
  readonly now: number;
  readonly random: RandomSource;
  /** Endpoints that were already tried. */
  readonly exclude?: ReadonlySet<string>;
  readonly prefixes?: PrefixHolders;
  readonly weights?: ChoiceWeights;
}

/** Why no endpoint was chosen. */
export interface NoEndpoint {
  /** `all_full`: there are compatible endpoints, but each is at its limit. */
  readonly none: "no_endpoint" | "all_full";
}
