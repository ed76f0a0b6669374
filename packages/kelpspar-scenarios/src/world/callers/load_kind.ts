/** What callers ask for, by the words of the scenarios. */
export interface LoadKind {
  readonly pipeline: string;
  readonly nonIdempotent: boolean;
  /** Stages whose execution acts on the world; empty when none does. */
  readonly effectfulStages: readonly string[];
  /** How the idempotency key is made. */
  readonly key: "none" | "free" | "bound";
}

/** Kinds of load; the plural is what scenarios say. */
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
