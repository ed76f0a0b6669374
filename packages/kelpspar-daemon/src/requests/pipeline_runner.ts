import type { StageConfiguration } from "kelpspar-configuration";
import type { StageCost } from "kelpspar-shared";
import type { ConfigurationIndexReader } from "../state/configuration_reader.ts";
import type { RequestContext } from "./request_context.ts";
import type { StageRunner } from "./stage_runner.ts";
import type { StageTrace } from "./stage_trace.ts";
import { invariant, KelpsparError } from "kelpspar-shared";
import { onceStages } from "./once_stages.ts";

/** What a pipeline runs on. */
export interface PipelineRunnerOptions {
  readonly stages: StageRunner;
  readonly configuration: ConfigurationIndexReader;
}

/** How a request's claim takes part in its run. */
export interface PipelineRunHooks {
  /** Awaited before the first call of a stage that must run once. */
  readonly beforeOnce: () => Promise<void>;
}

/**
 * Runs the stages of a request one after the other, each on the result of the
 * one before. The last stage's text streams into the request's answer log.
 */
export class PipelineRunner {
  readonly #stages: StageRunner;
  readonly #configuration: ConfigurationIndexReader;

  constructor(options: PipelineRunnerOptions) {
    this.#stages = options.stages;
    this.#configuration = options.configuration;
  }

  async run(context: RequestContext, hooks: PipelineRunHooks): Promise<void> {
    const stages = context.pipeline.stages;
    const lastIndex = stages.length - 1;
    const once = onceStages(context, this.#configuration.services());
    let input = context.request.input;
    for (const [stageIndex, stage] of stages.entries()) {
      const isOnce = once.has(stage.id);
      input = await this.#runStage({
        context,
        stage,
        stageIndex,
        input,
        once: isOnce,
        isLast: stageIndex === lastIndex,
        beforeDispatch: isOnce ? hooks.beforeOnce : () => Promise.resolve(),
      });
    }
  }

  async #runStage(run: {
    readonly context: RequestContext;
    readonly stage: StageConfiguration;
    readonly stageIndex: number;
    readonly input: string;
    readonly once: boolean;
    readonly isLast: boolean;
    readonly beforeDispatch: () => Promise<void>;
  }): Promise<string> {
    const service = this.#configuration.services().get(run.stage.service);
    if (service === undefined) {
      throw new KelpsparError(
        "no_endpoint",
        `Stage "${run.stage.id}" names service "${run.stage.service}", which the configuration in force lacks`,
      );
    }
    const trace = createTrace(run.stage.id, run.once);
    run.context.traces.set(run.stage.id, trace);
    return await this.#stages.run({
      context: run.context,
      stage: run.stage,
      stageIndex: run.stageIndex,
      service,
      input: run.input,
      trace,
      onText: run.isLast ? (text) => run.context.log.append(text) : () => {},
      beforeDispatch: run.beforeDispatch,
    });
  }
}

function createTrace(stageId: string, once: boolean): StageTrace {
  return {
    stageId,
    once,
    startedAt: 0,
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
