/** A caller comes back this long after all endpoints were full, ms. */
export const FULL_RETRY_MILLISECONDS = 300;
/** The same when no endpoint is known or could be reached. */
export const NO_ENDPOINT_RETRY_MILLISECONDS = 700;
