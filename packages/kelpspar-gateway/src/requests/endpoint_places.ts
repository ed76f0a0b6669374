import type { EndpointState } from "../endpoints/endpoint_state.ts";
import type { LogFields } from "../log/gateway_log.ts";
import type { EndpointSender } from "./endpoint_sender.ts";
import type {
  FailoverCause,
  FailoverPlaces,
  FailoverResultKind,
  StallEnd,
} from "./failover_places.ts";
import type { FailoverRefusal } from "./failover_refusal.ts";
import type { RequestRun } from "./request_run.ts";
import type { SendResult } from "./send_result.ts";
import { closeAnswer, isStreamed } from "./send_result.ts";

/** Options of `EndpointPlaces`. */
export interface EndpointPlacesOptions {
  readonly run: RequestRun;
  readonly sender: Pick<
    EndpointSender,
    "chooseEndpoint" | "sendBeside" | "hasHealthyEndpoint" | "hasSentOften"
  >;
  /** The endpoint whose answer is held. */
  readonly endpoint: EndpointState;
  /** Why the stream must not be sent once more, if so. */
  readonly findObstacle: () => string | undefined;
  /** Makes freed results of the stages again. */
  readonly prepareInputs: (
    signal: AbortSignal,
  ) => Promise<FailoverRefusal | undefined>;
  /** True if this daemon reaches no endpoint and another one serves. */
  readonly mayRelay: () => boolean;
  /** Records a send that brought no answer. */
  readonly recordFailure: (result: SendResult) => void;
}

/** Endpoints where a stream whose endpoint stalls may go on. */
export class EndpointPlaces implements FailoverPlaces<SendResult> {
  readonly #options: EndpointPlacesOptions;

  constructor(options: EndpointPlacesOptions) {
    this.#options = options;
  }

  describeHeld(): LogFields {
    const { endpoint } = this.#options;
    return { endpoint: endpoint.entry.id, openCalls: endpoint.inFlight };
  }

  startStall(cause: FailoverCause, now: number): (end: StallEnd) => void {
    // A late answer is recorded by its call.
    if (cause === "late_answer") return () => {};
    const { endpoint } = this.#options;
    endpoint.callOverdue(now);
    return (end) => endpoint.overdueCallEnded(end);
  }

  findObstacle(): string | undefined {
    const { run, sender, findObstacle } = this.#options;
    if (!run.hasAttemptsLeft || sender.hasSentOften) return "no attempt left";
    return findObstacle();
  }

  findMissingPlace(): string | undefined {
    return this.#options.sender.hasHealthyEndpoint ? undefined : "no endpoint";
  }

  goesOnOtherwise(): boolean {
    return this.#options.mayRelay();
  }

  prepare(signal: AbortSignal): Promise<FailoverRefusal | undefined> {
    return this.#options.prepareInputs(signal);
  }

  send(signal: AbortSignal): Promise<SendResult> | undefined {
    const { sender } = this.#options;
    const choice = sender.chooseEndpoint();
    return choice === undefined ? undefined : sender.sendBeside(choice, signal);
  }

  kindOf({ answer }: SendResult): FailoverResultKind {
    const { route } = this.#options.run.options;
    if (isStreamed(answer, route)) return "replacement";
    return answer.type === "answered" ? "answer" : "failure";
  }

  recordFailure(result: SendResult): FailoverRefusal {
    this.#options.recordFailure(result);
    return { reason: `endpoint: ${result.answer.type}` };
  }

  close(result: SendResult): void {
    closeAnswer(result);
  }
}
