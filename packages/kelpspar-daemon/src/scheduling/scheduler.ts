import type { Permit } from "./permit.ts";
import type { PermitRequest } from "./permit_request.ts";

/**
 * Decides when a stage may be called and at which endpoint. Rejects with
 * `overloaded`, `no_endpoint` or `cannot_finish_in_time`, at once.
 */
export interface Scheduler {
  acquire(request: PermitRequest): Promise<Permit>;
}
