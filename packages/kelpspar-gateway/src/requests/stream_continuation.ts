import type { EndpointEntry } from "../endpoints/endpoint_entry.ts";
import type { RequestRun } from "./request_run.ts";
import type { StreamRoute } from "../streams/software_candidates.ts";
import type { StreamRelay } from "./stream_relay.ts";
import { mayContinue } from "./choose_request_endpoint.ts";
import { softwareOf } from "../streams/software_of.ts";
import { STREAM_LIFETIME_MILLISECONDS } from "../streams/recent_members.ts";

/** Why a stream can't go on; undefined if it can. */
export type ContinuationFailure =
  | "the stream's software version isn't known"
  | "no endpoint of the stream's software version";

/**
 * Keeps a resumable stream at the software version that began it, over the
 * endpoints, daemons and attempts that it takes.
 */
export class StreamContinuation {
  readonly #run: RequestRun;
  readonly #relay: StreamRelay;

  constructor(run: RequestRun, relay: StreamRelay) {
    this.#run = run;
    this.#relay = relay;
  }

  /** Finds the software that began the stream, if that isn't known yet. */
  async resolve(): Promise<ContinuationFailure | undefined> {
    const run = this.#run;
    const isResumed = this.#relay.lastEventId !== undefined;
    if (!this.#run.isResumableStream || !isResumed) return undefined;
    if (run.streamOrigin !== undefined) return this.failure;
    const lookup = await run.options.dependencies.streamOrigins.find({
      attemptId: this.#firstAttemptId,
      ...this.#route,
    });
    if (lookup.type === "unknown") {
      return "the stream's software version isn't known";
    }
    run.continueAt(lookup.origin);
    return this.failure;
  }

  /** Why the stream can't go on now, as far as its software is known. */
  get failure(): ContinuationFailure | undefined {
    const { streamOrigin, options } = this.#run;
    if (streamOrigin === undefined) return undefined;
    const { endpointRegistry } = options.dependencies;
    const hasEndpoint = endpointRegistry.availableFor(options.service).some(
      (endpoint) => mayContinue(this.#run, endpoint),
    );
    return hasEndpoint
      ? undefined
      : "no endpoint of the stream's software version";
  }

  /** Resolves when other daemons know that an endpoint begins the stream. */
  async begin(endpoint: EndpointEntry): Promise<void> {
    if (!this.#run.isResumableStream) return;
    const { options, sends } = this.#run;
    const { request, route, dependencies, arrivedAt } = options;
    const wait = request.deadlineMilliseconds ?? route.timeoutMilliseconds;
    const remainingMilliseconds = Math.min(
      wait - (this.#run.now() - arrivedAt),
      STREAM_LIFETIME_MILLISECONDS,
    );
    await dependencies.streamOrigins.begin({
      stream: {
        attemptId: this.#firstAttemptId,
        ...softwareOf(endpoint),
        remainingMilliseconds,
        sends,
      },
      ...this.#route,
    });
  }

  /** Pins the stream to the software whose first event reaches the caller. */
  begun(endpoint: EndpointEntry): void {
    if (!this.#run.isResumableStream) return;
    this.#run.continueAt(softwareOf(endpoint));
    this.#run.options.dependencies.streamOrigins.begun({
      attemptId: this.#firstAttemptId,
      ...this.#route,
    });
  }

  /**
   * The attempt that brought the caller's first event. Another client account
   * may use the same id.
   */
  get #firstAttemptId(): string {
    const { account, request } = this.#run.options;
    const { attemptId = "", resumedAttemptId, lastEventId } = request;
    const first = lastEventId === undefined
      ? attemptId
      : resumedAttemptId ?? attemptId;
    return `${account?.name ?? ""}/${first}`;
  }

  get #route(): StreamRoute {
    const { name, targets } = this.#run.options.route;
    return { route: name, services: targets.map(({ service }) => service) };
  }
}
