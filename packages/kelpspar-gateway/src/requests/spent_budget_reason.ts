/** Reason of requests that fail because they can't be sent again. */
export const SPENT_BUDGET_REASON = "retry budget is spent";
