/**
 * The assumptions that the code relies on, by number. Numbers are never reused.
 */
export const INVARIANTS = {
  9001: "A state changes only inside its own update",
  9002: "A timer fires no earlier than it was set for",
  9003: "A queue's virtual time never goes back",
  9004: "A claim is confirmed before its stage is dispatched",
  9005: "A configuration revision only grows",
  9006: "The in-flight count of an endpoint is never negative",
  9007: "A pipeline has at least one stage",
  9008: "A handler exists for each command of its table",
} as const;
