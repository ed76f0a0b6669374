import type { Permit } from "./permit.ts";
import type { PermitRequest } from "./permit_request.ts";

/** Load of a service as seen by this daemon. */
export interface ServiceLoad {
  /** Number of calls that wait on this daemon. */
  readonly waiting: number;
  /** Running calls divided by this daemon's concurrency limit, 0 to 1. */
  readonly utilization: number;
  /** Endpoints ready for a call of the model, without the excluded ones. */
  readonly otherEndpoints: number;
}

/** Identifies a call that an admitted request is expected to make. */
export type ExpectedCallKey = Pick<
  PermitRequest,
  "service" | "accountId" | "pipelineId" | "stageId"
>;

/**
 * Decides when a stage's call may start and at which endpoint. Rejects at once
 * with `overloaded`, `no_endpoint` or `cannot_finish_in_time`.
 */
export interface Scheduler {
  acquire(request: PermitRequest): Promise<Permit>;
  /** Estimated queueing time of a new call, milliseconds. */
  estimateWait(
    service: string,
    call: { readonly accountId: string; readonly priority: number },
  ): number;
  /**
   * Registers an expected call; returns the teardown, to run when the call
   * requests its permit or is abandoned.
   */
  expect(call: ExpectedCallKey): () => void;
  loadOf(
    request: Pick<PermitRequest, "service" | "model" | "exclude">,
  ): ServiceLoad;
}
