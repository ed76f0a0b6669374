import type { DaemonAddress, TimerService } from "kelpspar-shared";
import type { PlannedRequest } from "../load/planned_request.ts";
import type { DaemonAddressCache } from "./daemon_address_cache.ts";
import type { CallResult } from "./call_result.ts";
import type { CallerPolicy } from "./caller_policy.ts";
import type { DaemonPools } from "./daemon_pools.ts";
import type { SubmissionEnd } from "./submission.ts";
import { formatEpochKey } from "kelpspar-decisions/claims";
import { callerKey } from "../site/experiment_configuration.ts";
import { formatAddress, toAddress } from "./daemon_address_cache.ts";
import { submit } from "./submit.ts";

const MAXIMUM_SUBMISSIONS = 6;
/** How long a caller waits for a final record after the deadline. */
const ANSWER_GRACE_MILLISECONDS = 500;

/** Options of `Caller`. */
export interface CallerOptions {
  /** Address caches by availability zone. */
  readonly addressCaches: ReadonlyMap<string, DaemonAddressCache>;
  readonly pools: DaemonPools;
  readonly policy: CallerPolicy;
  readonly timer: TimerService;
}

interface CallState {
  readonly request: PlannedRequest;
  readonly plannedAt: number;
  readonly signal: AbortSignal;
  readonly tried: Set<string>;
  readonly cutAt: number[];
  daemon: DaemonAddress | undefined;
  key: string | undefined;
  submissions: number;
  /** True if an earlier submission got no final record. */
  isResubmission: boolean;
}

/** The callers of an experiment; both arms use the same ones. */
export class Caller {
  readonly #options: CallerOptions;

  constructor(options: CallerOptions) {
    this.#options = options;
  }

  /** Sends a request and retries it according to the policy. Never throws. */
  async call(request: PlannedRequest, plannedAt: number): Promise<CallResult> {
    const { timer } = this.#options;
    const abort = new AbortController();
    const wait = plannedAt + request.deadlineMilliseconds +
      ANSWER_GRACE_MILLISECONDS - timer.now();
    const stopTimer = timer.registerTimeout(() => abort.abort(), wait);
    const state: CallState = {
      request,
      plannedAt,
      signal: abort.signal,
      tried: new Set(),
      cutAt: [],
      daemon: undefined,
      key: undefined,
      submissions: 0,
      isResubmission: false,
    };
    const end = await this.#submitUntilFinal(state);
    stopTimer();
    return {
      request,
      end,
      port: state.daemon?.port ?? 0,
      ...(state.key === undefined ? {} : { idempotencyKey: state.key }),
      milliseconds: timer.now() - plannedAt,
      submissions: state.submissions,
      cutAt: state.cutAt,
    };
  }

  async #submitUntilFinal(state: CallState): Promise<SubmissionEnd> {
    for (;;) {
      state.daemon = this.#choose(state);
      if (state.daemon === undefined) return { type: "unreachable" };
      const end = await this.#submit(state, state.daemon);
      if (state.submissions >= MAXIMUM_SUBMISSIONS || state.signal.aborted) {
        return end;
      }
      if (!await this.#prepareResubmission(state, end)) return end;
    }
  }

  /** Prefers `state.daemon`, which a failure's `elsewhere` may have set. */
  #choose(state: CallState): DaemonAddress | undefined {
    if (state.daemon !== undefined) return state.daemon;
    const { addressCaches } = this.#options;
    return addressCaches.get(state.request.availabilityZone)?.choose(
      state.tried,
    );
  }

  #submit(state: CallState, daemon: DaemonAddress): Promise<SubmissionEnd> {
    const { pools, timer } = this.#options;
    const { request } = state;
    state.submissions++;
    state.tried.add(formatAddress(daemon));
    state.key = this.#keyFor(state, daemon);
    const elapsed = timer.now() - state.plannedAt;
    return submit({
      dispatcher: pools.of(daemon),
      method: "POST",
      path: "/v1/requests",
      callerKey: callerKey(request.account),
      body: {
        pipeline: request.pipeline,
        input: request.input,
        deadlineMilliseconds: Math.max(
          1,
          Math.floor(request.deadlineMilliseconds - elapsed),
        ),
        nonIdempotent: request.hasOnceStage,
        ...(state.key === undefined ? {} : { idempotencyKey: state.key }),
        ...(state.isResubmission ? { resubmission: true } : {}),
      },
      signal: state.signal,
    });
  }

  #keyFor(state: CallState, daemon: DaemonAddress): string | undefined {
    const { request } = state;
    if (!request.hasOnceStage) return undefined;
    const { incarnation, keyEpoch } = daemon;
    if (this.#options.policy.bindsKeys !== true || incarnation === "") {
      return request.token;
    }
    return formatEpochKey({
      incarnation,
      epoch: keyEpoch,
      rest: request.token,
    });
  }

  /** Updates the state after a submission; true if another one must follow. */
  async #prepareResubmission(
    state: CallState,
    end: SubmissionEnd,
  ): Promise<boolean> {
    const { policy, addressCaches } = this.#options;
    const { daemon } = state;
    state.daemon = undefined;
    if (end.type === "unreachable" && daemon !== undefined) {
      addressCaches.get(state.request.availabilityZone)?.avoid(daemon);
      return true;
    }
    if (end.type === "cut" && daemon !== undefined) {
      state.cutAt.push(daemon.port);
      if (policy.resubmitsCut !== true) {
        state.daemon = daemon;
        return false;
      }
      state.isResubmission = true;
      return true;
    }
    state.daemon = daemon;
    if (end.type !== "failure") return false;
    return await this.#prepareAfterFailure(state, end);
  }

  async #prepareAfterFailure(
    state: CallState,
    end: Extract<SubmissionEnd, { readonly type: "failure" }>,
  ): Promise<boolean> {
    const { policy } = this.#options;
    const { outcome, retry, elsewhere, retryAfterMilliseconds } = end.failure;
    const next = elsewhere?.map(readAddress).find((address) =>
      !state.tried.has(formatAddress(address))
    );
    const goesElsewhere = policy.followsElsewhere === true &&
      outcome === "not_run" && retry === "elsewhere";
    if (goesElsewhere && next !== undefined) {
      state.daemon = next;
      return true;
    }
    if (outcome !== "not_run" || policy.retriesLater !== true) return false;
    if (retryAfterMilliseconds === undefined) return false;
    const { timer } = this.#options;
    const left = state.plannedAt + state.request.deadlineMilliseconds -
      timer.now();
    if (retryAfterMilliseconds >= left) return false;
    await new Promise<void>((resolve) => {
      timer.registerTimeout(resolve, retryAfterMilliseconds);
    });
    state.daemon = undefined;
    state.tried.clear();
    return true;
  }
}

function readAddress(text: string): DaemonAddress {
  return toAddress(Number(text.slice(text.lastIndexOf(":") + 1)));
}
