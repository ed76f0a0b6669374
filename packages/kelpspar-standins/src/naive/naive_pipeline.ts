import type { StageConfiguration } from "kelpspar-configuration";
import type { EndpointClient, ListedVm } from "kelpspar-backends";
import type { StageCost, StageEndRecord, TimerService } from "kelpspar-shared";
import type { NaiveView } from "./naive_view.ts";
import { OffsetAssembler, sha256, SystemRandom } from "kelpspar-shared";

const CALL_TIMEOUT_MILLISECONDS = 1_000;
const RETRIES = 3;
const PREFIX_HASH_DIGITS = 16;

/** A request and the input of its next stage. */
export interface NaiveRequest {
  readonly requestId: string;
  readonly accountId: string;
  readonly pipeline: string;
  readonly input: string;
}

/** The complete answer to a request. */
export interface NaiveAnswer {
  readonly text: string;
  readonly cost: readonly StageCost[];
}

interface StageResult {
  readonly text: string;
  readonly end: StageEndRecord;
}

/**
 * Runs stages in sequence, round robin over the listed endpoints, with a
 * timeout for each call and three retries of any failure, even for stages that
 * are not idempotent. Does not validate the records of an answer.
 */
export class NaivePipeline {
  readonly #endpoints: EndpointClient;
  readonly #view: NaiveView;
  readonly #timer: TimerService;
  readonly #random = new SystemRandom();
  #nextIndex = 0;

  constructor(options: {
    readonly endpoints: EndpointClient;
    readonly view: NaiveView;
    readonly timer: TimerService;
  }) {
    this.#endpoints = options.endpoints;
    this.#view = options.view;
    this.#timer = options.timer;
  }

  /** Throws if a stage fails four times. */
  async run(request: NaiveRequest): Promise<NaiveAnswer> {
    const pipeline = this.#view.configuration?.pipelines.find(({ id }) =>
      id === request.pipeline
    );
    if (pipeline === undefined) throw new Error("No such pipeline");
    const cost: StageCost[] = [];
    let text = request.input;
    for (const stage of pipeline.stages) {
      const result = await this.#runStage(stage, { ...request, input: text });
      cost.push(result.cost);
      text = result.text;
    }
    return { text, cost };
  }

  async #runStage(
    stage: StageConfiguration,
    request: NaiveRequest,
  ): Promise<{ readonly text: string; readonly cost: StageCost }> {
    for (let attempts = 1;; attempts++) {
      try {
        const { text, end } = await this.#callEndpoint(stage, request);
        const { runnerMilliseconds, tokensIn, tokensOut } = end;
        const spent = { runnerMilliseconds, tokensIn, tokensOut };
        return { text, cost: { stageId: stage.id, ...spent, attempts } };
      } catch (thrown) {
        if (attempts > RETRIES) throw thrown;
      }
    }
  }

  async #callEndpoint(
    stage: StageConfiguration,
    request: NaiveRequest,
  ): Promise<StageResult> {
    const abort = new AbortController();
    const stopTimer = this.#timer.registerTimeout(
      () => abort.abort(new Error("timed out")),
      CALL_TIMEOUT_MILLISECONDS,
    );
    const assembler = new OffsetAssembler();
    let text = "";
    try {
      const records = this.#endpoints.call(
        { ...this.#chooseEndpoint(stage.service), endpointId: stage.service },
        {
          requestId: request.requestId,
          accountId: request.accountId,
          stageId: stage.id,
          attemptId: this.#random.nextHexadecimal(8),
          priority: 0,
          remainingMilliseconds: CALL_TIMEOUT_MILLISECONDS,
          input: request.input,
          ...selectModel(stage, request.input),
        },
        { signal: abort.signal, newConnection: false },
      );
      for await (const record of records) {
        if (record.type === "chunk") text += assembler.push(record);
        if (record.type === "failure") throw new Error(record.reason);
        if (record.type === "end") return { text, end: record };
      }
      throw new Error("No end");
    } finally {
      stopTimer();
    }
  }

  #chooseEndpoint(service: string): ListedVm {
    const pool = this.#view.live("endpoint").filter((vm) =>
      vm.service === service
    );
    const chosen = pool[this.#nextIndex++ % pool.length];
    if (chosen === undefined) throw new Error(`No endpoint of ${service}`);
    return chosen;
  }
}

function selectModel(
  stage: StageConfiguration,
  input: string,
): { readonly model?: string; readonly prefixHash?: string } {
  const { model, sharedPrefixCharacters: characters } = stage;
  if (model === undefined) return {};
  if (characters === 0) return { model };
  const hash = sha256(input.slice(0, characters));
  return { model, prefixHash: hash.slice(0, PREFIX_HASH_DIGITS) };
}
