/**
 * What is known of one call sent to an endpoint: `refused` connections and
 * calls the endpoint vouches it did not start prove that nothing ran; all else
 * proves nothing.
 */
export type DispatchFact = "refused" | "not_started" | "may_have_run";
