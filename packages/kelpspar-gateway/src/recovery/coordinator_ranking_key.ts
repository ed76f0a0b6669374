/** Ranking key of the coordinator of stages, the same at every daemon. */
export const COORDINATOR_RANKING_KEY = "stages";
