import type { StageCall } from "kelpspar-shared";

/** A call that an endpoint started. */
export interface Execution {
  readonly call: StageCall;
  /** The request's token, which every stage copies to its output. */
  readonly token: string;
  readonly endpointId: string;
  readonly service: string;
  readonly startedAt: number;
  /** The whole result, whether or not it is delivered. */
  readonly output: string;
}
