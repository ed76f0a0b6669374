import type { ClaimAttemptAction } from "kelpspar-decisions/claims";

/** How another operation settles a claim. */
export type ClaimSettlement = Extract<
  ClaimAttemptAction,
  { readonly type: "settle" }
>["decision"];

/** Told what becomes of a claim; each at most once. */
export interface ClaimListener {
  /** The claim is confirmed: the request may be dispatched. */
  readonly onRun: () => void;
  /** Another operation holds the key; this request never runs. */
  readonly onSettled: (settlement: ClaimSettlement) => void;
}
