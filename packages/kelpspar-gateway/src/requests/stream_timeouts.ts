import type { ServiceRoute } from "../configuration/service_route.ts";
import type { RequestRun } from "./request_run.ts";

/**
 * Silence after which a resumable stream fails over. It is several times the
 * longest pause of a healthy endpoint, so that slow endpoints are kept.
 */
const STREAM_IDLE_TIMEOUT_MILLISECONDS = 1_500;
/** Longer for a relayed stream, since the other daemon fails over by itself. */
const RELAYED_IDLE_TIMEOUT_MILLISECONDS = 3_000;
/**
 * Time from the first byte of an event to its end, in objectives of its route:
 * callers leave after a gap of four, and another endpoint needs some of them.
 */
const EVENT_OBJECTIVES = 2;
const RELAYED_EVENT_OBJECTIVES = 3;

/** Time after which a relayed answer should have begun, milliseconds. */
export function lateRelayedAnswerMilliseconds(
  { objectiveMilliseconds }: Pick<ServiceRoute, "objectiveMilliseconds">,
): number {
  return Math.max(
    RELAYED_IDLE_TIMEOUT_MILLISECONDS,
    RELAYED_EVENT_OBJECTIVES * objectiveMilliseconds,
  );
}

/** Options of `StreamTimeouts`. */
export interface StreamTimeoutsOptions {
  readonly run: RequestRun;
  /** True if another daemon sends the stream. */
  readonly isRelayed: boolean;
  /** Called when nothing arrived for too long, with that time. */
  readonly onSilence: (milliseconds: number) => void;
  /** Called when an event has begun and doesn't end. */
  readonly onSlowEvent: () => void;
}

/**
 * Times out a resumable stream that is silent or whose event doesn't end. A
 * stream that can't go on at another endpoint is kept until its deadline.
 */
export class StreamTimeouts {
  readonly #options: StreamTimeoutsOptions;
  #stopIdle = (): void => {};
  #stopEvent: (() => void) | undefined;

  constructor(options: StreamTimeoutsOptions) {
    this.#options = options;
  }

  /** To be called whenever more bytes are waited for. */
  wait(isInsideEvent: boolean): void {
    const { run, isRelayed, onSilence, onSlowEvent } = this.#options;
    this.#stopIdle();
    if (!run.hasAttemptsLeft) return;
    const { timer } = run.options.dependencies;
    const idleMilliseconds = isRelayed
      ? RELAYED_IDLE_TIMEOUT_MILLISECONDS
      : STREAM_IDLE_TIMEOUT_MILLISECONDS;
    this.#stopIdle = timer.registerTimeout(
      () => onSilence(idleMilliseconds),
      idleMilliseconds,
    );
    if (!isInsideEvent || this.#stopEvent !== undefined) return;
    const objectives = isRelayed ? RELAYED_EVENT_OBJECTIVES : EVENT_OBJECTIVES;
    this.#stopEvent = timer.registerTimeout(
      onSlowEvent,
      Math.max(
        idleMilliseconds,
        objectives * run.options.route.objectiveMilliseconds,
      ),
    );
  }

  /** To be called when bytes arrive. */
  received(): void {
    this.#stopIdle();
  }

  /** To be called when events are whole, and at the end of the stream. */
  stop(): void {
    this.#stopIdle();
    this.#stopEvent?.();
    this.#stopEvent = undefined;
  }
}
