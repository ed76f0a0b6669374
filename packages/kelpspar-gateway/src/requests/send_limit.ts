/**
 * A limit of sends that a choice of endpoints keeps, and that a send may pass
 * nevertheless: the number of endpoints of a request, its deadline, or the pause
 * that an endpoint requested.
 */
export type SendLimit = "attempts" | "deadline" | "pause";
