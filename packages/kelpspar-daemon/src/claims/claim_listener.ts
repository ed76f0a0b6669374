import type { ClaimAttemptAction } from "kelpspar-decisions/claims";

/** Outcome of a claim whose key another operation holds. */
export type ClaimSettlement = Extract<
  ClaimAttemptAction,
  { readonly type: "settle" }
>["decision"];

/** Callbacks for the outcome of a claim; each is called at most once. */
export interface ClaimListener {
  /** The claim is confirmed: the request may be dispatched. */
  readonly onRun: () => void;
  /** Another operation holds the key; this request never runs. */
  readonly onSettled: (settlement: ClaimSettlement) => void;
}
