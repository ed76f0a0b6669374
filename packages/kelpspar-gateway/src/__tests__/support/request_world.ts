import type { EndpointEntry } from "../../endpoints/endpoint_entry.ts";
import type { ListeningState } from "../../exchange/check_listening.ts";
import type { ServiceRoute } from "../../configuration/service_route.ts";
import type { LogFields } from "../../log/gateway_log.ts";
import type { ChainOutcome } from "../../pieces/chain_outcome.ts";
import type {
  EndpointAnswer,
  EndpointCall,
  EndpointClient,
} from "../../requests/endpoint_call.ts";
import type { OwnAnswer, RequestReply } from "../../requests/request_reply.ts";
import type { ServingRequest } from "../../requests/serving_request.ts";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { Readable } from "node:stream";
import { ConfigurationKeeper } from "../../configuration/configuration_keeper.ts";
import { EndpointRateLimiter } from "../../endpoints/endpoint_rate_limiter.ts";
import { EndpointRegistry } from "../../endpoints/endpoint_registry.ts";
import { EndpointLimits } from "../../endpoints/endpoint_limits.ts";
import { GatewayMetrics } from "../../metrics/gateway_metrics.ts";
import { CrashWatch } from "../../quarantine/crash_watch.ts";
import { Quarantine } from "../../quarantine/quarantine.ts";
import { ExpectedTimes } from "../../requests/expected_times.ts";
import { RequestService } from "../../requests/request_service.ts";
import { ServiceRetryBudget } from "../../retries/service_retry_budget.ts";

/** How an endpoint answers one call. */
export type Script = (
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

/** What a caller got. */
export class RecordedReply implements RequestReply {
  readonly #gone = new AbortController();
  status: number | undefined;
  refusal: OwnAnswer | undefined;
  text = "";
  end_: "open" | "ended" | "broken" = "open";

  get gone(): AbortSignal {
    return this.#gone.signal;
  }

  leave(): void {
    this.#gone.abort();
  }

  refuse(answer: OwnAnswer): void {
    this.status = answer.status;
    this.refusal = answer;
    this.end_ = "ended";
  }

  answer(status: number, _: readonly string[], body: Uint8Array): void {
    this.status = status;
    this.text = Buffer.from(body).toString();
    this.end_ = "ended";
  }

  begin(status: number): void {
    this.status = status;
  }

  write(chunk: Uint8Array): Promise<void> {
    this.text += Buffer.from(chunk).toString();
    return Promise.resolve();
  }

  end(): void {
    this.end_ = "ended";
  }

  breakOff(): void {
    this.end_ = "broken";
  }
}

/** One daemon's request path before three endpoints that are scripted. */
export interface World {
  readonly timer: ManualTimer;
  readonly service: RequestService;
  readonly reply: RecordedReply;
  readonly book: EndpointRegistry;
  readonly calls: EndpointCall[];
  readonly released: string[];
  readonly quarantine: Quarantine;
  /** Times that stages were run. */
  readonly chainsRun: () => number;
  readonly lines: { readonly message: string; readonly fields: LogFields }[];
}

/** Scripts answer in turn, whichever endpoint is called. */
export function createWorld(
  script: readonly Script[],
  options: {
    readonly route?: Partial<ServiceRoute>;
    readonly chain?: ChainOutcome | Promise<ChainOutcome>;
    /** What endpoints named; nothing when left out. */
    readonly limits?: EndpointLimits;
    /** False for a daemon that just started. */
    readonly isConfigured?: boolean;
    /** Whether endpoints take connections; all do when left out. */
    readonly check?: (endpoint: EndpointEntry) => ListeningState;
  } = {},
): World {
  const timer = new ManualTimer();
  const configuration = new ConfigurationKeeper();
  const first = {
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
  if (options.isConfigured !== false) configuration.offer(first);
  const book = new EndpointRegistry();
  for (const id of ["i1", "i2", "i3"]) {
    book.upsert({
      id,
      bornAt: 0,
      service: "model",
      address: `10.0.0.${id.slice(1)}:80`,
      zone: "a",
      slots: 4,
      isDraining: false,
    }, 0);
  }
  const calls: EndpointCall[] = [];
  const released: string[] = [];
  const lines: World["lines"] = [];
  let chains = 0;
  const note = (message: string, fields: LogFields = {}): void => {
    lines.push({ message, fields });
  };
  const log = { info: note, warn: note };
  const quarantine = new Quarantine({ timer, log });
  const endpoints: EndpointClient = {
    send: async (call) => {
      calls.push(call);
      const answer = script[calls.length - 1];
      if (answer === undefined) throw new Error("No more answers scripted");
      return await answer(call);
    },
    check: (endpoint) =>
      Promise.resolve(options.check?.(endpoint) ?? "listening"),
  };
  const service = new RequestService({
    configuration,
    book,
    endpoints,
    gate: new EndpointRateLimiter({
      chooser: "daemon",
      limits: options.limits ?? new EndpointLimits(),
      configuration,
      random: new SeededRandom(2),
      sharers: () => 1,
    }),
    crashes: new CrashWatch({ endpoints, quarantine, timer, log }),
    quarantine,
    chains: {
      run: () => {
        chains++;
        return Promise.resolve(
          options.chain ?? {
            type: "done",
            results: [{
              handle: `h${chains}`,
              makerId: "m",
              makerAddress: "10.0.1.1:80",
              makerZone: "a",
            }],
          },
        );
      },
      release: ({ results }) => {
        released.push(...results.map(({ handle }) => handle));
      },
    },
    budget: new ServiceRetryBudget({
      ratio: 0.2,
      slack: 50,
      windowMilliseconds: 10_000,
    }),
    times: new ExpectedTimes(),
    timer,
    random: new SeededRandom(1),
    log,
    metrics: new GatewayMetrics(),
    zone: "a",
    sharers: () => 1,
  });
  return {
    timer,
    service,
    reply: new RecordedReply(),
    book,
    calls,
    released,
    quarantine,
    chainsRun: () => chains,
    lines,
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
  return { type: "answered", status, headers: [], body, close };
}

export function stream(...parts: readonly (string | Error)[]): EndpointAnswer {
  async function* read(): AsyncGenerator<Buffer> {
    for (const part of parts) {
      await Promise.resolve();
      if (part instanceof Error) throw part;
      yield Buffer.from(part);
    }
  }
  return answered(200, Readable.from(read()));
}

export function whole(status: number, text: string): EndpointAnswer {
  return answered(status, Readable.from([Buffer.from(text)]));
}

export async function serve(world: World, one = request()): Promise<void> {
  const served = world.service.serve(one, world.reply);
  await world.timer.settle();
  await served;
}
