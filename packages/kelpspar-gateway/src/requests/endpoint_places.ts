import type { EndpointState } from "../endpoints/endpoint_state.ts";
import type { LogFields } from "../log/gateway_log.ts";
import type { EndpointSender } from "./endpoint_sender.ts";
import type {
  FailoverCause,
  FailoverPlaces,
  StallEnd,
} from "./failover_places.ts";
import type { FailoverRefusal } from "./failover_refusal.ts";
import type { RequestRun } from "./request_run.ts";
import type { SendResult } from "./send_result.ts";
import { NO_ATTEMPT } from "./failover_refusal.ts";
import { closeAnswer, isStreamed } from "./send_result.ts";

/** Options of `EndpointPlaces`. */
export interface EndpointPlacesOptions {
  readonly run: RequestRun;
  readonly sender: Pick<
    EndpointSender,
    | "chooseEndpoint"
    | "sendBeside"
    | "hasUnpausedEndpoint"
    | "hasSentOften"
    | "lateAnswerMilliseconds"
  >;
  /** The endpoint whose answer is held. */
  readonly endpoint: EndpointState;
  /** Why the stream must not be sent once more, if so. */
  readonly findObstacle: () => string | undefined;
  /** Reports a crash of the held endpoint if the request may be the cause. */
  readonly checkHeld: () => Promise<void>;
  /** Makes freed results of the stages again. */
  readonly prepareInputs: (
    signal: AbortSignal,
  ) => Promise<FailoverRefusal | undefined>;
  /** True if this daemon reaches no endpoint and another one serves. */
  readonly mayRelay: () => boolean;
  /** Records a send whose answer isn't used, and closes that. */
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

  get lateMilliseconds(): number {
    return this.#options.sender.lateAnswerMilliseconds;
  }

  findObstacle(): FailoverRefusal | undefined {
    const { run, sender, findObstacle } = this.#options;
    if (!run.hasAttemptsLeft || sender.hasSentOften) return NO_ATTEMPT;
    const reason = findObstacle();
    return reason === undefined ? undefined : { reason };
  }

  findMissingPlace(): FailoverRefusal | undefined {
    return this.#options.sender.hasUnpausedEndpoint
      ? undefined
      : { reason: "no endpoint" };
  }

  goesOnOtherwise(): boolean {
    return this.#options.mayRelay();
  }

  async prepare(signal: AbortSignal): Promise<FailoverRefusal | undefined> {
    const { checkHeld, prepareInputs } = this.#options;
    await checkHeld();
    return this.findObstacle() ?? await prepareInputs(signal);
  }

  send(signal: AbortSignal): Promise<SendResult> | undefined {
    const { sender } = this.#options;
    const choice = sender.chooseEndpoint();
    return choice === undefined ? undefined : sender.sendBeside(choice, signal);
  }

  /** Before the first event, any answer that can't be retried is final. */
  isReplacement({ answer }: SendResult): boolean {
    const { run } = this.#options;
    if (isStreamed(answer, run.options.route)) return true;
    const isFinal = answer.type === "answered" &&
      (answer.status < 500 || !run.hasAttemptsLeft);
    return isFinal && run.firstByteAt === undefined;
  }

  recordFailure(result: SendResult): FailoverRefusal {
    this.#options.recordFailure(result);
    return { reason: `endpoint: ${result.answer.type}` };
  }

  close(result: SendResult): void {
    closeAnswer(result);
  }
}
