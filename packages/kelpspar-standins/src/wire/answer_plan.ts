/** How a runner answers one request. */
export interface AnswerPlan {
  /** Number of events in a complete stream. */
  readonly events: number;
  /** Delay before a whole response and each event, milliseconds. */
  readonly delayMilliseconds: number | undefined;
  /** Minimum length of a whole response, or of an event's data. */
  readonly bytes: number | undefined;
}

const DEFAULT_EVENTS = 5;

/** Reads the plan from the query `events`, `delay` and `bytes` of a target. */
export function readAnswerPlan(
  target: string,
  defaults: {
    readonly events?: number;
    readonly delayMilliseconds?: number;
  },
): AnswerPlan {
  const query = new URLSearchParams(target.split("?", 2)[1] ?? "");
  const read = (name: string): number | undefined => {
    const text = query.get(name);
    return text === null ? undefined : Number(text);
  };
  return {
    events: read("events") ?? defaults.events ?? DEFAULT_EVENTS,
    delayMilliseconds: read("delay") ?? defaults.delayMilliseconds,
    bytes: read("bytes"),
  };
}
