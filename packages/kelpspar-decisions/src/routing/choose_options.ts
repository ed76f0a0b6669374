import type { EndpointRole, RandomSource } from "kelpspar-shared";

/** Tells which endpoints hold a prompt prefix, as far as is known. */
export interface PrefixHolders {
  /** Ids of the endpoints that hold `prefixHash`; may be wrong. */
  holders(prefixHash: string): readonly string[];
}

/** How loads are weighed against nearness and cached prefixes. */
export interface ChoiceWeights {
  /** Utilization of the own zone's choice from which others are looked at. */
  readonly spillUtilization: number;
  /** How much lower another zone's utilization must be. */
  readonly spillDifference: number;
  /** Utilization that a cached prefix is worth, and no more. */
  readonly affinityDifference: number;
  /** Load over the mean up to which a prefix keeps to its own endpoint. */
  readonly boundedLoadFactor: number;
  /** Utilization up to which an endpoint always takes its own prefixes. */
  readonly ownPrefixUtilization: number;
}

/** The defaults of `ChoiceWeights`. */
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
  /** The part of generation wanted; default whatever the endpoint does. */
  readonly role?: EndpointRole;
  /** The zone to stay in if its load allows. */
  readonly zone: string;
  /** Monotonic milliseconds. */
  readonly now: number;
  readonly random: RandomSource;
  /** Endpoints that were tried already. */
  readonly exclude?: ReadonlySet<string>;
  readonly prefixes?: PrefixHolders;
  readonly weights?: ChoiceWeights;
}

/** Why no endpoint was chosen. */
export interface NoEndpoint {
  /** `all_full`: some would do, but each is at its limit. */
  readonly none: "no_endpoint" | "all_full";
}
