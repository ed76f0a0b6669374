import type { CrowdBehaviour } from "./crowd_behaviour.ts";
import type { CrowdPort } from "./crowd_port.ts";

/** Callers that all behave alike. */
export interface CrowdKind {
  readonly behave: CrowdBehaviour;
  readonly connections: number;
  /** Default the front. */
  readonly port?: CrowdPort;
  /** Maximum time that the crowd sends. */
  readonly seconds?: number;
  /** Time that it stays after that before others are asked for. */
  readonly restSeconds?: number;
  /**
   * Whether each request is inside the limits, so that it gets 200, or 503 with
   * Retry-After.
   */
  readonly isAnswered?: boolean;
  /** Whether one such request gets 200 when it is alone. */
  readonly isServedAlone?: boolean;
}
