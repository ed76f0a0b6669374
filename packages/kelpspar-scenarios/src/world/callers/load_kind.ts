/** A kind of request that callers send. */
export interface LoadKind {
  readonly pipeline: string;
  readonly nonIdempotent: boolean;
  /** Stages with side effects; empty if there are none. */
  readonly effectfulStages: readonly string[];
  /** The form of the idempotency key; "bound" keys name an incarnation. */
  readonly key: "none" | "free" | "bound";
}

/** Kinds of load, by their plural in the scenarios. */
export const LOAD_KINDS: Readonly<Record<string, LoadKind>> = {
  "spread plans": {
    pipeline: "spread-plan",
    nonIdempotent: false,
    effectfulStages: [],
    key: "none",
  },
  "keyed spread plans": {
    pipeline: "spread-plan",
    nonIdempotent: false,
    effectfulStages: [],
    key: "free",
  },
  "booking confirmations": {
    pipeline: "booking-confirmation",
    nonIdempotent: true,
    effectfulStages: ["book"],
    key: "free",
  },
  "bound booking confirmations": {
    pipeline: "booking-confirmation",
    nonIdempotent: true,
    effectfulStages: ["book"],
    key: "bound",
  },
  "amendment requests": {
    pipeline: "amendment-request",
    nonIdempotent: true,
    effectfulStages: ["amend"],
    key: "free",
  },
};
