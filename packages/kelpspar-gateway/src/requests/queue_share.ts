/**
 * Share of the objective that is left for which a request may wait for a place
 * at brittle endpoints.
 */
export const QUEUE_SHARE = 0.5;
