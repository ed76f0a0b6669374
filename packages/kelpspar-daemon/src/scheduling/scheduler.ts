import type { Permit } from "./permit.ts";
import type { PermitRequest } from "./permit_request.ts";

/** How busy a service is, as this daemon sees it. */
export interface ServiceLoad {
  /** Calls that wait here. */
  readonly waiting: number;
  /** Calls running by this daemon's slice, 0 to 1. */
  readonly utilization: number;
  /** Endpoints ready for a call of the model, those excluded left out. */
  readonly otherEndpoints: number;
}

/** A call that an admitted request is going to make. */
export type ExpectedCallName = Pick<
  PermitRequest,
  "service" | "accountId" | "pipelineId" | "stageId"
>;

/**
 * Decides when a stage may be called and at which endpoint. Rejects with
 * `overloaded`, `no_endpoint` or `cannot_finish_in_time`, at once.
 */
export interface Scheduler {
  acquire(request: PermitRequest): Promise<Permit>;
  /** How long a new call would wait for its turn, milliseconds. */
  estimateWait(
    service: string,
    call: { readonly accountId: string; readonly priority: number },
  ): number;
  /**
   * Counts a call that is going to be made; returns what takes it back, once
   * the call asks for its permit or never will.
   */
  expect(call: ExpectedCallName): () => void;
  loadOf(
    request: Pick<PermitRequest, "service" | "model" | "exclude">,
  ): ServiceLoad;
}
