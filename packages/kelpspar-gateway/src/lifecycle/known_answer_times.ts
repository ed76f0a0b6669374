import type { TimerService } from "kelpspar-shared";
import type { ToldRouteTimes } from "./route_times.ts";
import { AnswerTimes } from "./answer_times.ts";

/** Answer times of the routes, counted from two moments of a request. */
export class KnownAnswerTimes {
  /** From the arrival of a request: its stages and its answer. */
  readonly fromArrival: AnswerTimes;
  /** From the send of a request to the endpoint that answered it. */
  readonly fromSend: AnswerTimes;

  constructor(timer: Pick<TimerService, "now">) {
    this.fromArrival = new AnswerTimes(timer);
    this.fromSend = new AnswerTimes(timer);
  }

  /** The times that are known here. */
  page(): readonly ToldRouteTimes[] {
    return [
      ...this.fromArrival.page(),
      ...this.fromSend.page().map((times) => ({
        ...times,
        from: "send" as const,
      })),
    ];
  }

  /** Takes over the times of another daemon. */
  merge(page: readonly ToldRouteTimes[]): void {
    this.fromArrival.merge(page.filter(({ from }) => from !== "send"));
    this.fromSend.merge(page.filter(({ from }) => from === "send"));
  }
}
