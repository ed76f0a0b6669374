/**
 * What a caller may do after a failure: nothing (`never`), the same daemon
 * after the stated wait (`later`), another daemon now (`elsewhere`), or look
 * the request up by its idempotency key (`look_up`).
 */
export type RetryAdvice = "never" | "later" | "elsewhere" | "look_up";
