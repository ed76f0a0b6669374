import type { DaemonAddress } from "kelpspar-shared";
import type { Answer } from "./answer/answer.ts";
import type {
  KelpsparClientOptions,
  SubmitOptions,
} from "./kelpspar_client_options.ts";
import type { ClientRequest } from "./request/client_request.ts";
import type { RunOptions } from "./request/run_options.ts";
import type { RunServices } from "./request/run_services.ts";
import { setMaxListeners } from "node:events";
import { AddressBook } from "./addresses/address_cache.ts";
import { fetchAddresses } from "./addresses/fetch_addresses.ts";
import { AnswerStream } from "./answer/answer_stream.ts";
import { CLIENT_DEFAULTS } from "./kelpspar_client_options.ts";
import { RequestRun } from "./request/request_run.ts";
import { RetryBudget } from "./request/retry_budget.ts";
import { DaemonTransport } from "./transport/daemon_transport.ts";
import { ProgressWatch } from "./transport/progress_watchdog.ts";

/**
 * A caller's way to the daemons: finds one, submits requests, puts answers
 * together and retries what may be retried within the deadline.
 */
export class KelpsparClient {
  readonly #services: RunServices;
  readonly #transport: DaemonTransport;
  readonly #closing = new AbortController();

  constructor(options: KelpsparClientOptions) {
    const settings = { ...CLIENT_DEFAULTS, ...options };
    const { timer, random } = settings;
    const transport = new DaemonTransport(settings);
    // Each running request listens, however many they are.
    setMaxListeners(0, this.#closing.signal);
    this.#transport = transport;
    this.#services = {
      transport,
      timer,
      random,
      closing: this.#closing.signal,
      progressTimeoutMilliseconds: settings.progressTimeoutMilliseconds,
      addresses: new AddressBook({
        seeds: settings.seeds,
        availabilityZone: options.availabilityZone,
        timer,
        random,
        fetch: (daemon) =>
          fetchAddresses(daemon, {
            transport,
            timer,
            timeoutMilliseconds: settings.addressTimeoutMilliseconds,
          }),
      }),
      budget: new RetryBudget({
        share: settings.retryShare,
        reserve: settings.retryReserve,
      }),
      cancel: (daemon, requestId) => void this.#cancel(daemon, requestId),
    };
  }

  /**
   * Submits a request whose answer is read as it comes. A request that must
   * run again after pieces were read fails with `stream_cut` if the new run
   * gives another text.
   */
  submit(request: ClientRequest, options: SubmitOptions = {}): AnswerStream {
    return this.#start(request, {
      isStreamed: true,
      signal: options.signal,
      firstKind: "submit",
    });
  }

  /** Submits a request and returns its whole answer. Throws KelpsparError. */
  submitWhole(
    request: ClientRequest,
    options: SubmitOptions = {},
  ): Promise<Answer> {
    return this.#start(request, {
      isStreamed: false,
      signal: options.signal,
      firstKind: "submit",
    }).whole();
  }

  /**
   * Looks the answer of an earlier request up, until it is whole or the
   * deadline passes. Never runs anything. Throws KelpsparError.
   */
  lookUp(
    idempotencyKey: string,
    options: SubmitOptions & { readonly deadlineMilliseconds: number },
  ): Promise<Answer> {
    const { deadlineMilliseconds, signal } = options;
    const request = {
      pipeline: "",
      input: "",
      deadlineMilliseconds,
      idempotencyKey,
    };
    return this.#start(request, {
      isStreamed: false,
      signal,
      firstKind: "look_up",
    }).whole();
  }

  /** Cancels what still runs and closes every connection. */
  async close(): Promise<void> {
    this.#closing.abort();
    await this.#transport.close();
  }

  #start(
    request: ClientRequest,
    options: Omit<RunOptions, "services">,
  ): AnswerStream {
    const services = this.#services;
    return new AnswerStream(
      () => new RequestRun(request, { ...options, services }).pieces(),
    );
  }

  /** Best effort: a daemon that misses it ends the request at its deadline. */
  async #cancel(daemon: DaemonAddress, requestId: string): Promise<void> {
    const { timer, progressTimeoutMilliseconds } = this.#services;
    const watch = new ProgressWatch({
      timer,
      milliseconds: progressTimeoutMilliseconds,
    });
    try {
      const exchange = await watch.step(this.#transport.open(daemon, {
        method: "DELETE",
        path: `/v1/requests/${encodeURIComponent(requestId)}`,
        signal: watch.signal,
        isolated: true,
      }));
      exchange.release();
    } catch {
      // Whoever cancels has nothing more to learn.
    } finally {
      watch.end();
    }
  }
}
