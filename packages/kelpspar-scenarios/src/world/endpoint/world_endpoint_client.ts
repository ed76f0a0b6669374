import type { EndpointClient, StageCallOptions } from "kelpspar-backends";
import type {
  CacheEventPage,
  CacheSnapshot,
  EndpointAddress,
  LoadReport,
  ResultName,
  StageCall,
  StageRecord,
} from "kelpspar-shared";
import type { DaemonProcess } from "../daemon/daemon_process.ts";
import type { Network } from "../network/network.ts";
import type { WorldEndpoint } from "./world_endpoint.ts";
import { KelpsparError } from "kelpspar-shared";
import { exchange } from "../network/exchange.ts";
import { CallChannel } from "./call_channel.ts";
import { createDelivery } from "./create_delivery.ts";

const CONNECT_TIMEOUT_MILLISECONDS = 500;
const CONTROL_TIMEOUT_MILLISECONDS = 1_000;

/** Parameters of a `WorldEndpointClient`. */
export interface WorldEndpointClientOptions {
  readonly network: Network;
  readonly process: DaemonProcess;
  readonly daemonId: string;
  /** The endpoint at an address; undefined if there is none. */
  readonly find: (address: EndpointAddress) => WorldEndpoint | undefined;
}

/** Calls endpoints over the simulated network. */
export class WorldEndpointClient implements EndpointClient {
  readonly #options: WorldEndpointClientOptions;

  constructor(options: WorldEndpointClientOptions) {
    this.#options = options;
  }

  async *call(
    address: EndpointAddress,
    call: StageCall,
    options: StageCallOptions,
  ): AsyncGenerator<StageRecord, void, void> {
    const { process } = this.#options;
    const channel = await process.receive(
      this.#connect(address, { call, isNew: options.newConnection }),
    );
    const disconnect = (): void => channel.disconnect();
    const stopListening = process.registerDeathListener(disconnect);
    const aborted = rejectWhenAborted(options.signal);
    try {
      for (;;) {
        const event = await process.receive(
          Promise.race([channel.next(), aborted]),
        );
        if (event.type === "closed") return;
        if (event.type === "broken") {
          throw failure("endpoint_failed", address, "the connection broke");
        }
        yield event.record;
      }
    } finally {
      stopListening();
      disconnect();
    }
  }

  async cancel(address: EndpointAddress, attemptId: string): Promise<void> {
    await this.#control(address, (endpoint) => endpoint.cancel(attemptId));
  }

  renewConnections(address: EndpointAddress): void {
    const { network, daemonId } = this.#options;
    network.link(daemonId, address.endpointId).renewPooled();
  }

  load(address: EndpointAddress): Promise<LoadReport> {
    return this.#control(
      address,
      (endpoint) => structuredClone(endpoint.report()),
    );
  }

  async cacheEvents(
    _address: EndpointAddress,
    afterSequence: number,
  ): Promise<CacheEventPage> {
    return { incarnation: "none", events: [], lastSequence: afterSequence };
  }

  async cacheSnapshot(): Promise<CacheSnapshot> {
    return { incarnation: "none", prefixHashes: [], lastSequence: 0 };
  }

  async order(): Promise<void> {}

  async copyCache(): Promise<void> {}

  /**
   * Sends a call. Only a failure to connect is a refusal. If the call was sent
   * on a pooled or breaking connection, it is unknown whether it ran.
   */
  async #connect(
    address: EndpointAddress,
    options: { readonly call: StageCall; readonly isNew: boolean },
  ): Promise<CallChannel> {
    const { network, process, daemonId } = this.#options;
    const { endpointId } = address;
    const link = network.link(daemonId, endpointId);
    const generation = options.isNew
      ? link.newestGeneration
      : link.pooledGeneration;
    if (options.isNew && !link.canConnect) {
      await new Promise<void>((resolve) => {
        process.timer.registerTimeout(resolve, CONNECT_TIMEOUT_MILLISECONDS);
      });
      throw failure(
        "endpoint_refused",
        address,
        "connection attempt timed out",
      );
    }
    const wasAlive = this.#find(address)?.isAlive === true;
    const channel = new CallChannel(createDelivery({
      network,
      daemonId,
      endpointId,
      canDeliver: () => link.canDeliver(generation),
    }));
    await network.waitForTransit(daemonId, endpointId);
    if (!link.canDeliver(generation)) return channel;
    const endpoint = this.#find(address);
    if (endpoint?.isAlive !== true) {
      const result = wasAlive ? "endpoint_failed" : "endpoint_refused";
      throw failure(result, address, "connection refused");
    }
    endpoint.receive(structuredClone(options.call), channel);
    return channel;
  }

  #control<Answer>(
    address: EndpointAddress,
    handleRequest: (endpoint: WorldEndpoint) => Answer,
  ): Promise<Answer> {
    const { network, process, daemonId } = this.#options;
    const { endpointId } = address;
    return exchange({
      network,
      process,
      from: daemonId,
      to: endpointId,
      isNewConnection: true,
      timeoutMilliseconds: CONTROL_TIMEOUT_MILLISECONDS,
      createNoAnswerError: () =>
        failure("endpoint_failed", address, "request timed out"),
      handleRequest: async () => {
        const endpoint = this.#find(address);
        if (endpoint?.isAlive === true) return handleRequest(endpoint);
        throw failure("endpoint_refused", address, "connection refused");
      },
    });
  }

  #find(address: EndpointAddress): WorldEndpoint | undefined {
    return this.#options.find(address);
  }
}

function failure(
  result: ResultName,
  address: EndpointAddress,
  reason: string,
): KelpsparError {
  return new KelpsparError(
    result,
    `Call to endpoint "${address.endpointId}" failed: ${reason}`,
  );
}

function rejectWhenAborted(signal: AbortSignal): Promise<never> {
  const aborted = new Promise<never>((_resolve, reject) => {
    const fail = (): void => reject(signal.reason);
    if (signal.aborted) fail();
    else signal.addEventListener("abort", fail);
  });
  aborted.catch(() => {});
  return aborted;
}
