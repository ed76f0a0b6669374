import type { StageConfiguration } from "kelpspar-configuration";
import type { StageCost } from "kelpspar-shared";
import type { ConfigurationIndexReader } from "../state/configuration_reader.ts";
import type { OnceGuard } from "./once_guard.ts";
import type { RequestContext } from "./request_context.ts";
import type { StageRunner } from "./stage_runner.ts";
import type { StageTrace } from "./stage_trace.ts";
import { invariant, KelpsparError, sha256 } from "kelpspar-shared";
import { UNRESTRICTED_ONCE_GUARD } from "./once_guard.ts";

const PREFIX_HASH_DIGITS = 16;

/** Options of `PipelineRunner`. */
export interface PipelineRunnerOptions {
  readonly stages: StageRunner;
  readonly configuration: ConfigurationIndexReader;
}

/**
 * Runs the stages of a request in sequence, each with the previous stage's
 * result as input. The last stage's text streams into the answer log.
 */
export class PipelineRunner {
  readonly #stages: StageRunner;
  readonly #configuration: ConfigurationIndexReader;

  constructor(options: PipelineRunnerOptions) {
    this.#stages = options.stages;
    this.#configuration = options.configuration;
  }

  /** Returns the complete answer; throws KelpsparError. */
  async run(context: RequestContext, guard: OnceGuard): Promise<string> {
    const stages = context.pipeline.stages;
    const lastIndex = stages.length - 1;
    const once = context.onceStages;
    let input = context.request.input;
    for (const [stageIndex, stage] of stages.entries()) {
      const isOnce = once.has(stage.id);
      const next = stages[stageIndex + 1];
      const isBeforeOnce = next !== undefined && once.has(next.id);
      if (isOnce || isBeforeOnce) guard.prepare();
      input = await this.#runStage({
        context,
        stage,
        stageIndex,
        input,
        once: isOnce,
        isLast: stageIndex === lastIndex,
        guard: isOnce ? guard : UNRESTRICTED_ONCE_GUARD,
      });
    }
    return input;
  }

  async #runStage(run: {
    readonly context: RequestContext;
    readonly stage: StageConfiguration;
    readonly stageIndex: number;
    readonly input: string;
    readonly once: boolean;
    readonly isLast: boolean;
    readonly guard: OnceGuard;
  }): Promise<string> {
    const service = this.#configuration.services().get(run.stage.service);
    if (service === undefined) {
      throw new KelpsparError(
        "no_endpoint",
        `Stage "${run.stage.id}" names service "${run.stage.service}", which the configuration in force lacks`,
      );
    }
    run.context.expectedCallTeardowns.get(run.stage.id)?.();
    const trace = createTrace(run.stage.id, run.once);
    run.context.traces.set(run.stage.id, trace);
    return await this.#stages.run({
      context: run.context,
      stage: run.stage,
      stageIndex: run.stageIndex,
      service,
      input: run.input,
      prefixHash: prefixHashOf(run.stage, run.input),
      trace,
      onText: run.isLast ? (text) => run.context.log.append(text) : () => {},
      guard: run.guard,
    });
  }
}

/**
 * Hashes the input prefix that requests share, so that calls are routed to
 * engines that have it in their prefix cache.
 */
function prefixHashOf(
  stage: StageConfiguration,
  input: string,
): string | undefined {
  const characters = stage.sharedPrefixCharacters;
  if (characters === 0) return undefined;
  return sha256(input.slice(0, characters)).slice(0, PREFIX_HASH_DIGITS);
}

function createTrace(stageId: string, once: boolean): StageTrace {
  return {
    stageId,
    once,
    startedAt: 0,
    callStartedAt: undefined,
    endpointId: undefined,
    attempts: 0,
    milliseconds: 0,
    runnerMilliseconds: 0,
    tokensIn: 0,
    tokensOut: 0,
    outcome: "running",
    dispatches: [],
  };
}

/** The cost of a request by stage, in the order of its stages. */
export function costOf(context: RequestContext): readonly StageCost[] {
  invariant(context.pipeline.stages.length > 0, 9007);
  return [...context.traces.values()].map((trace) => ({
    stageId: trace.stageId,
    runnerMilliseconds: trace.runnerMilliseconds,
    tokensIn: trace.tokensIn,
    tokensOut: trace.tokensOut,
    attempts: trace.attempts,
  }));
}
