import type { EndpointClient, StageCallOptions } from "kelpspar-backends";
import type {
  CacheEventPage,
  CacheSnapshot,
  EndpointAddress,
  LoadReport,
  StageCall,
  StageRecord,
} from "kelpspar-shared";
import { KelpsparError } from "kelpspar-shared";

/** A call received by a fake endpoint; the test controls its answer. */
export class FakeCall {
  readonly #waiting: (() => void)[] = [];
  readonly #records: StageRecord[] = [];
  #isClosed = false;
  #error: unknown;

  constructor(
    readonly endpoint: EndpointAddress,
    readonly call: StageCall,
    readonly options: StageCallOptions,
  ) {
    options.signal.addEventListener("abort", () => {
      this.fail(new KelpsparError("endpoint_failed", "The call was aborted"));
    });
  }

  /** Sends a record; missing ids default to those of the call. */
  push(record: object): void {
    const { requestId, stageId, attemptId } = this.call;
    const ids = { requestId, stageId, attemptId };
    this.#records.push({ ...ids, ...record } as StageRecord);
    this.#wake();
  }

  chunk(offset: number, text: string): void {
    this.push({ type: "chunk", offset, text });
  }

  end(length: number): void {
    this.push({
      type: "end",
      length,
      runnerMilliseconds: 1,
      tokensIn: 1,
      tokensOut: 1,
    });
  }

  /** Closes the stream. */
  close(): void {
    this.#isClosed = true;
    this.#wake();
  }

  /** Fails the stream with an error. */
  fail(error: unknown): void {
    this.#error ??= error;
    this.#wake();
  }

  /** Sends a complete answer. */
  answer(text: string): void {
    this.chunk(0, text);
    this.end(text.length);
    this.close();
  }

  async *records(): AsyncGenerator<StageRecord, void, void> {
    for (;;) {
      const record = this.#records.shift();
      if (record !== undefined) yield record;
      else if (this.#error !== undefined) throw this.#error;
      else if (this.#isClosed) return;
      else await new Promise<void>((resolve) => this.#waiting.push(resolve));
    }
  }

  #wake(): void {
    for (const resolve of this.#waiting.splice(0)) resolve();
  }
}

/** In-process endpoints; by default they answer `service(input)`. */
export class FakeEndpoints implements EndpointClient {
  readonly calls: FakeCall[] = [];
  /** The attempts that were cancelled. */
  readonly cancelled: string[] = [];
  onCall: (call: FakeCall) => void = sendDefaultAnswer;

  call(
    endpoint: EndpointAddress,
    call: StageCall,
    options: StageCallOptions,
  ): AsyncIterable<StageRecord> {
    const fake = new FakeCall(endpoint, call, options);
    this.calls.push(fake);
    this.onCall(fake);
    return fake.records();
  }

  /** The calls that one stage made. */
  callsOf(stageId: string): readonly FakeCall[] {
    return this.calls.filter(({ call }) => call.stageId === stageId);
  }

  async cancel(_endpoint: EndpointAddress, attemptId: string): Promise<void> {
    this.cancelled.push(attemptId);
  }

  renewConnections(): void {}

  async load(endpoint: EndpointAddress): Promise<LoadReport> {
    return {
      incarnation: endpoint.incarnation,
      sequence: 1,
      state: "ready",
      running: 0,
      waiting: 0,
      concurrency: 8,
      accepted: 0,
      queuedTokens: 0,
      models: {},
      adapters: [],
      role: "service",
    };
  }

  async cacheEvents(endpoint: EndpointAddress): Promise<CacheEventPage> {
    const { incarnation } = endpoint;
    return { incarnation, events: [], lastSequence: 0 };
  }

  async cacheSnapshot(endpoint: EndpointAddress): Promise<CacheSnapshot> {
    const { incarnation } = endpoint;
    return { incarnation, prefixHashes: [], lastSequence: 0 };
  }

  async order(): Promise<void> {}

  async copyCache(): Promise<void> {}
}

/** The default answer of a fake endpoint. */
export function createDefaultAnswer(service: string, input: string): string {
  return `${service}(${input})`;
}

function sendDefaultAnswer(fake: FakeCall): void {
  fake.answer(createDefaultAnswer(fake.endpoint.service, fake.call.input));
}
