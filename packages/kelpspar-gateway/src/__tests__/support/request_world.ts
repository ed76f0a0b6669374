import type { EndpointEntry } from "../../endpoints/endpoint_entry.ts";
import type { ListeningState } from "../../exchange/check_listening.ts";
import type { ServiceRoute } from "../../configuration/service_route.ts";
import type { LogFields } from "../../log/gateway_log.ts";
import type { ChainOutcome } from "../../pieces/chain_outcome.ts";
import type { ChainRelease } from "../../pieces/chain_request.ts";
import type {
  EndpointAnswer,
  EndpointCall,
  EndpointClient,
} from "../../requests/endpoint_call.ts";
import type {
  DaemonAnswer,
  RefusedProgress,
  RequestReply,
} from "../../requests/request_reply.ts";
import type {
  OtherDaemons,
  RequestDependencies,
} from "../../requests/request_dependencies.ts";
import type { ServingRequest } from "../../requests/serving_request.ts";
import type { OriginLookup } from "../../streams/stream_origins.ts";
import type { BegunStream, StreamOrigin } from "../../streams/stream_origin.ts";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { Readable } from "node:stream";
import { AnswerTimes } from "../../lifecycle/answer_times.ts";
import { DaemonLifecycle } from "../../lifecycle/daemon_lifecycle.ts";
import { ActiveConfiguration } from "../../configuration/active_configuration.ts";
import { BrittleServices } from "../../endpoints/brittle_services.ts";
import { ConcurrencyLimiter } from "../../endpoints/concurrency_limiter.ts";
import { EndpointRateLimiter } from "../../endpoints/endpoint_rate_limiter.ts";
import { EndpointRegistry } from "../../endpoints/endpoint_registry.ts";
import { EndpointLimits } from "../../endpoints/endpoint_limits.ts";
import { createMalformedAnswerListener } from "../../exchange/create_malformed_answer_listener.ts";
import { MalformedAnswers } from "../../exchange/malformed_answers.ts";
import { GatewayMetrics } from "../../metrics/gateway_metrics.ts";
import { CrashDetector } from "../../quarantine/crash_detector.ts";
import { Quarantine } from "../../quarantine/quarantine.ts";
import { FirstByteEstimates } from "../../requests/first_byte_estimates.ts";
import { RequestService } from "../../requests/request_service.ts";
import { createRetryGate } from "./create_retry_gate.ts";

/** Answers one endpoint call. */
export type ScriptedAnswer = (
  call: EndpointCall,
) => EndpointAnswer | Promise<EndpointAnswer>;

const ROUTE: ServiceRoute = {
  name: "r",
  host: "a.example",
  prefix: "/r/",
  kind: "stream",
  timeoutMilliseconds: 10_000,
  objectiveMilliseconds: 1_000,
  attempts: 2,
  priority: 0,
  targets: [{ service: "model", weight: 1 }],
  isPublic: false,
  isResumable: true,
  stages: [{ service: "encode", after: [], resultBytes: 100 }],
};

const REFUSALS_PER_SECOND = 5;
/** Time from the stop signal until the daemon is killed, milliseconds. */
const GRACE = 8_000;

const NO_RELAY: RequestDependencies["relay"] = {
  isNeeded: false,
  verified: () => Promise.resolve(false),
  choosePeer: () => undefined,
  send: () => Promise.resolve({ type: "unknown", reason: "no peers" }),
};

/** Records the answer that a caller received. */
export class RecordedReply implements RequestReply {
  readonly #disconnect = new AbortController();
  status: number | undefined;
  refusal: DaemonAnswer | undefined;
  /** How far a refused request got. */
  refusalProgress: RefusedProgress | undefined;
  text = "";
  endState: "open" | "ended" | "broken" = "open";
  readonly sent = Promise.resolve(true);

  get disconnectSignal(): AbortSignal {
    return this.#disconnect.signal;
  }

  disconnect(): void {
    this.#disconnect.abort();
  }

  refuse(answer: DaemonAnswer, progress?: RefusedProgress): void {
    this.refusalProgress = progress;
    this.status = answer.status;
    this.refusal = answer;
    this.endState = "ended";
  }

  answer(status: number, _: readonly string[], body: Uint8Array): void {
    this.status = status;
    this.text = Buffer.from(body).toString();
    this.endState = "ended";
  }

  begin(status: number): void {
    this.status = status;
  }

  write(chunk: Uint8Array): Promise<void> {
    this.text += Buffer.from(chunk).toString();
    return Promise.resolve();
  }

  end(): void {
    this.endState = "ended";
  }

  abort(): void {
    this.endState = "broken";
  }
}

/** The request path of one daemon with three scripted endpoints. */
export interface World {
  readonly timer: ManualTimer;
  readonly service: RequestService;
  readonly reply: RecordedReply;
  readonly registry: EndpointRegistry;
  readonly endpointCalls: EndpointCall[];
  readonly releasedHandles: string[];
  readonly releases: ChainRelease[];
  /** Streams whose software other daemons were told. */
  readonly begunStreams: BegunStream[];
  readonly quarantine: Quarantine;
  readonly lifecycle: DaemonLifecycle;
  readonly answerTimes: AnswerTimes;
  /** Answer times from the send of a request. */
  readonly sendTimes: AnswerTimes;
  /** Number of chains that were run. */
  readonly chainRunCount: () => number;
  readonly logLines: { readonly message: string; readonly fields: LogFields }[];
}

/** Answers endpoint calls in the order of `script`, at any endpoint. */
export function createWorld(
  script: readonly ScriptedAnswer[],
  options: {
    readonly route?: Partial<ServiceRoute>;
    readonly chain?: ChainOutcome | Promise<ChainOutcome>;
    /** Outcomes of successive chains; `chain` counts after the last. */
    readonly chains?: readonly ChainOutcome[];
    /** Limits of the endpoints; none by default. */
    readonly limits?: EndpointLimits;
    /** False for a daemon that has no configuration yet. */
    readonly isConfigured?: boolean;
    /** Checks if an endpoint accepts connections; all do by default. */
    readonly check?: (
      endpoint: EndpointEntry,
    ) => ListeningState | Promise<ListeningState>;
    /** Other daemons; without them the daemon is never isolated. */
    readonly relay?: RequestDependencies["relay"];
    /** Other daemons while this one stops; one serves by default. */
    readonly others?: Partial<OtherDaemons>;
    /** Daemons that share the endpoints, which are brittle if this is set. */
    readonly senders?: readonly string[];
    /** What is known of a stream that a caller resumes. */
    readonly origin?: OriginLookup;
    /** Whether all daemons know of software; default true. */
    readonly isSettled?: (software: StreamOrigin) => boolean;
    /** Settles when other daemons know of a stream. */
    readonly told?: Promise<void>;
    /** The fleet's retry slack; default 50. */
    readonly slack?: number;
    /** Creates the retry gate; by default one that lends `slack` at once. */
    readonly createGate?: (
      timer: ManualTimer,
    ) => RequestDependencies["retryGate"];
    /** Software version of each endpoint. */
    readonly versions?: readonly string[];
  } = {},
): World {
  const timer = new ManualTimer();
  const configuration = new ActiveConfiguration();
  const initial = {
    version: 1,
    routes: [{ ...ROUTE, ...options.route }],
    services: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
    accounts: [{ name: "acme", callerKeys: ["key"], priority: undefined }],
  };
  if (options.isConfigured !== false) configuration.applyIfNewer(initial);
  const endpointRegistry = new EndpointRegistry();
  for (const [index, id] of ["i1", "i2", "i3"].entries()) {
    endpointRegistry.upsert({
      id,
      bornAt: 0,
      service: "model",
      address: `10.0.0.${id.slice(1)}:80`,
      zone: "a",
      version: options.versions?.[index],
      slots: 4,
      isDraining: false,
    }, 0);
  }
  const onlySoftware: OriginLookup = {
    type: "known",
    origin: { service: "model", version: options.versions?.[0] ?? "" },
  };
  const endpointCalls: EndpointCall[] = [];
  const begunStreams: BegunStream[] = [];
  const releasedHandles: string[] = [];
  const releases: ChainRelease[] = [];
  const logLines: World["logLines"] = [];
  let chainRunCount = 0;
  const recordLine = (message: string, fields: LogFields = {}): void => {
    logLines.push({ message, fields });
  };
  const log = { info: recordLine, warn: recordLine };
  const quarantine = new Quarantine({ timer, log });
  const endpoints: EndpointClient = {
    send: async (call) => {
      endpointCalls.push(call);
      const answer = script[endpointCalls.length - 1];
      if (answer === undefined) throw new Error("No scripted answer is left");
      return await answer(call);
    },
    check: async (endpoint) => await (options.check?.(endpoint) ?? "listening"),
  };
  const brittle = new BrittleServices();
  const lifecycle = new DaemonLifecycle({ timer, graceMilliseconds: GRACE });
  const answerTimes = new AnswerTimes(timer);
  const sendTimes = new AnswerTimes(timer);
  if (options.senders !== undefined) {
    brittle.record("model", REFUSALS_PER_SECOND, timer.now());
  }
  const malformedAnswers = new MalformedAnswers();
  malformedAnswers.registerListener(
    createMalformedAnswerListener({
      registry: endpointRegistry,
      metrics: new GatewayMetrics(),
      log,
      timer,
    }),
  );
  const service = new RequestService({
    configuration,
    endpointRegistry,
    endpoints,
    rateLimiter: new EndpointRateLimiter({
      chooser: "daemon",
      limits: options.limits ?? new EndpointLimits(),
      configuration,
      random: new SeededRandom(2),
      senderCount: () => 1,
    }),
    crashes: new CrashDetector({
      endpoints,
      quarantine,
      isolation: { verified: () => Promise.resolve(false), isIsolated: false },
      membership: { hasOnlyIsolated: () => false },
      timer,
      log,
    }),
    quarantine,
    concurrency: new ConcurrencyLimiter({
      configuration,
      registry: endpointRegistry,
      brittle,
      daemonId: "d1",
      senders: () => options.senders ?? ["d1"],
      timer,
      random: new SeededRandom(3),
    }),
    relay: options.relay ?? NO_RELAY,
    chainRunner: {
      run: () => {
        chainRunCount++;
        return Promise.resolve(
          options.chains?.[chainRunCount - 1] ?? options.chain ?? {
            type: "done",
            results: [{
              handle: `h${chainRunCount}`,
              makerId: "m",
              makerAddress: "10.0.1.1:80",
              makerZone: "a",
            }],
          },
        );
      },
      release: (release) => {
        releases.push(release);
        const { results } = release;
        releasedHandles.push(...results.map(({ handle }) => handle));
      },
    },
    streamOrigins: {
      begin: ({ stream }) => {
        begunStreams.push(stream);
        return options.told ?? Promise.resolve();
      },
      begun: () => {},
      isSettled: options.isSettled ?? (() => true),
      find: () => Promise.resolve(options.origin ?? onlySoftware),
    },
    retryGate: options.createGate?.(timer) ??
      createRetryGate(timer, { slack: options.slack ?? 50 }),
    firstByteEstimates: new FirstByteEstimates(),
    malformedAnswers,
    lifecycle,
    answerTimes,
    sendTimes,
    others: () => ({
      isOtherServing: true,
      isOtherStarting: false,
      othersEndIn: [],
      ...options.others,
    }),
    timer,
    random: new SeededRandom(1),
    log,
    metrics: new GatewayMetrics(),
    zone: "a",
  });
  return {
    timer,
    service,
    reply: new RecordedReply(),
    registry: endpointRegistry,
    endpointCalls,
    releasedHandles,
    releases,
    begunStreams,
    quarantine,
    lifecycle,
    answerTimes,
    sendTimes,
    chainRunCount: () => chainRunCount,
    logLines,
  };
}

export function request(options: Partial<ServingRequest> = {}): ServingRequest {
  return {
    attemptId: "a1",
    method: "POST",
    host: "a.example",
    target: "/r/x",
    headers: [],
    callerKey: "key",
    deadlineMilliseconds: 10_000,
    promptParts: [],
    pieceCounts: [1],
    pieceKey: "k",
    lastEventId: undefined,
    body: Buffer.alloc(0),
    ...options,
  };
}

function answered(status: number, body: Readable): EndpointAnswer {
  const close = (): void => void body.destroy();
  const framing = "close_delimited";
  return { type: "answered", status, headers: [], framing, body, close };
}

export function stream(
  ...parts: readonly (string | Error)[]
): EndpointAnswer {
  async function* read(): AsyncGenerator<Buffer> {
    for (const part of parts) {
      await Promise.resolve();
      if (part instanceof Error) throw part;
      yield Buffer.from(part);
    }
  }
  return answered(200, Readable.from(read()));
}

export function wholeAnswer(status: number, text: string): EndpointAnswer {
  return answered(status, Readable.from([Buffer.from(text)]));
}

export async function serve(
  world: World,
  callerRequest = request(),
): Promise<void> {
  const served = world.service.serve(callerRequest, world.reply);
  await world.timer.settle();
  await served;
}
