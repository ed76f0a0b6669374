import type { LogFields } from "../log/gateway_log.ts";
import type { FailoverRefusal } from "./failover_refusal.ts";

/** Why another place is looked for. */
export type FailoverCause = "silence" | "slow_event" | "late_answer";

/** How the wait for a held answer ended. Times are monotonic milliseconds. */
export interface StallEnd {
  readonly startedAt: number;
  readonly now: number;
  /** Whether the held answer went on. */
  readonly isAnswered: boolean;
}

/** Where a stalled stream may go on: at other endpoints or other daemons. */
export interface FailoverPlaces<Result> {
  /** What the log says of the place whose answer is held. */
  describeHeld(): LogFields;
  /** Records that the held answer stalls; returns what records the end of it. */
  startStall(cause: FailoverCause, now: number): (end: StallEnd) => void;
  /** Why no other place may be asked, however many there are. */
  findObstacle(): FailoverRefusal | undefined;
  /** Why there is no place to ask; undefined if there is one. */
  findMissingPlace(): FailoverRefusal | undefined;
  /** True if the stream goes on by other means than `send` once it is given up. */
  goesOnOtherwise(): boolean;
  /** Makes what the send needs, or tells why that can't be. */
  prepare(signal: AbortSignal): Promise<FailoverRefusal | undefined>;
  /** Asks a place, after a send was reserved; undefined if none is left. */
  send(signal: AbortSignal): Promise<Result> | undefined;
  /** Time after which a send is late and one more place is asked. */
  readonly lateMilliseconds: number;
  /** True for a result that ends the answer that is held. */
  isReplacement(result: Result): boolean;
  /** Records a send that brought no replacement; returns why. */
  recordFailure(result: Result): FailoverRefusal;
  /** Closes an answer that isn't used. */
  close(result: Result): void;
}
