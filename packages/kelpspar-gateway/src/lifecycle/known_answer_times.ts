import type { TimerService } from "kelpspar-shared";
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
}
