/** Retry delay for callers when all endpoints are full. */
export const FULL_RETRY_MILLISECONDS = 300;
/** Retry delay for callers when no endpoint is known or reachable. */
export const NO_ENDPOINT_RETRY_MILLISECONDS = 700;
