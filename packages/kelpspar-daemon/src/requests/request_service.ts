import type {
  AccountConfiguration,
  PipelineConfiguration,
} from "kelpspar-configuration";
import type {
  KelpsparError,
  RandomSource,
  SubmitRequest,
  TimerService,
} from "kelpspar-shared";
import type { ConfigurationIndexReader } from "../state/configuration_reader.ts";
import type { FinalRecord } from "./answer_log.ts";
import type { PipelineRunner } from "./pipeline_runner.ts";
import type { RequestContext } from "./request_context.ts";
import type { RequestRegistry } from "./request_registry.ts";
import {
  KelpsparError as ResultError,
  sha256,
  toFailureRecord,
  toKelpsparError,
} from "kelpspar-shared";
import { AnswerLog } from "./answer_log.ts";
import { costOf } from "./pipeline_runner.ts";

/** What requests run on. */
export interface RequestServiceOptions {
  readonly configuration: ConfigurationIndexReader;
  readonly pipelines: PipelineRunner;
  readonly registry: RequestRegistry;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly onEnd: (context: RequestContext, final: FinalRecord) => void;
}

/** Takes callers' requests and runs each to its final record. */
export class RequestService {
  readonly #options: RequestServiceOptions;

  constructor(options: RequestServiceOptions) {
    this.#options = options;
  }

  /** Starts a request; throws a refusal, all of which are `not_run`. */
  submit(
    account: AccountConfiguration,
    request: SubmitRequest,
  ): Promise<RequestContext> {
    const pipeline = this.#findPipeline(account, request);
    const context = this.#createContext(account, { pipeline, request });
    void this.#run(context);
    return Promise.resolve(context);
  }

  #findPipeline(
    account: AccountConfiguration,
    request: SubmitRequest,
  ): PipelineConfiguration {
    const configuration = this.#options.configuration.current();
    const pipeline = configuration?.pipelines.find((candidate) =>
      candidate.id === request.pipeline
    );
    if (pipeline === undefined) {
      throw new ResultError(
        "unknown_pipeline",
        `There is no pipeline "${request.pipeline}"`,
      );
    }
    const grant = pipeline.accounts.find((candidate) =>
      candidate.account === account.id
    );
    if (grant === undefined) {
      throw new ResultError(
        "not_allowed",
        `Client account "${account.id}" may not use pipeline "${pipeline.id}"`,
      );
    }
    const deadline = request.deadlineMilliseconds;
    if (deadline <= 0 || deadline > pipeline.maximumDeadlineMilliseconds) {
      throw new ResultError(
        "deadline_out_of_range",
        `Deadline ${deadline} ms is not between 1 and ${pipeline.maximumDeadlineMilliseconds} ms`,
      );
    }
    return pipeline;
  }

  #createContext(
    account: AccountConfiguration,
    options: {
      readonly pipeline: PipelineConfiguration;
      readonly request: SubmitRequest;
    },
  ): RequestContext {
    const { pipeline, request } = options;
    const arrivedAt = this.#options.timer.now();
    const floor =
      pipeline.accounts.find((grant) => grant.account === account.id)
        ?.priority ?? 0;
    return {
      requestId: this.#options.random.nextHexadecimal(12),
      account,
      pipeline,
      request,
      priority: Math.max(floor, request.priority),
      arrivedAt,
      deadlineAt: arrivedAt + request.deadlineMilliseconds,
      bodyHash: sha256(`${request.pipeline}\n${request.input}`),
      log: new AnswerLog(),
      abort: new AbortController(),
      traces: new Map(),
    };
  }

  async #run(context: RequestContext): Promise<void> {
    const { timer, registry } = this.#options;
    const unregister = registry.register(context);
    const stopDeadline = timer.registerTimeout(
      () => context.abort.abort(deadlineError(context)),
      context.deadlineAt - timer.now(),
    );
    const final = await this.#runToFinal(context);
    stopDeadline();
    context.log.finish(final);
    unregister();
    this.#options.onEnd(context, final);
  }

  async #runToFinal(context: RequestContext): Promise<FinalRecord> {
    const { requestId, log } = context;
    try {
      await this.#options.pipelines.run(context, {
        beforeOnce: () => Promise.resolve(),
      });
      return {
        type: "end",
        requestId,
        length: log.length,
        checksum: log.checksum,
        cost: costOf(context),
        elapsedMilliseconds: this.#options.timer.now() - context.arrivedAt,
      };
    } catch (thrown) {
      const error: KelpsparError = toKelpsparError(
        context.abort.signal.aborted ? context.abort.signal.reason : thrown,
      );
      return toFailureRecord(error, { requestId });
    }
  }
}

function deadlineError(context: RequestContext): KelpsparError {
  return new ResultError(
    "deadline_exceeded",
    `Request "${context.requestId}" did not end within ${context.request.deadlineMilliseconds} ms`,
  );
}
