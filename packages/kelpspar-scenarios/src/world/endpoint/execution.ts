import type { StageCall } from "kelpspar-shared";

/** A call that an endpoint began to run. */
export interface Execution {
  readonly call: StageCall;
  /** The request's token, which every stage hands on. */
  readonly token: string;
  readonly endpointId: string;
  readonly service: string;
  readonly startedAt: number;
  /** The whole result, whether or not it reaches anybody. */
  readonly output: string;
}
