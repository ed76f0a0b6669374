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
import { AddressCache } from "./addresses/address_cache.ts";
import { fetchAddresses } from "./addresses/fetch_addresses.ts";
import { AnswerStream } from "./answer/answer_stream.ts";
import { CLIENT_DEFAULTS } from "./kelpspar_client_options.ts";
import { RequestRun } from "./request/request_run.ts";
import { RetryBudget } from "./request/retry_budget.ts";
import { DaemonTransport } from "./transport/daemon_transport.ts";
import { ProgressWatchdog } from "./transport/progress_watchdog.ts";

/**
 * The client library: chooses a daemon, submits requests, assembles answers and
 * retries within the deadline where a retry is safe.
 */
export class KelpsparClient {
  readonly #services: RunServices;
  readonly #transport: DaemonTransport;
  readonly #closing = new AbortController();

  constructor(options: KelpsparClientOptions) {
    const settings = { ...CLIENT_DEFAULTS, ...options };
    const { timer, random } = settings;
    const transport = new DaemonTransport(settings);
    // Every running request adds a listener; their number is not limited.
    setMaxListeners(0, this.#closing.signal);
    this.#transport = transport;
    this.#services = {
      transport,
      timer,
      random,
      closing: this.#closing.signal,
      progressTimeoutMilliseconds: settings.progressTimeoutMilliseconds,
      addresses: new AddressCache({
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
   * Submits a request whose answer is read as it arrives. If the request has to
   * run again after pieces were read, it fails with `stream_cut` when the new
   * run produces a different text.
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
   * Looks up the answer of an earlier request, until it is whole or the
   * deadline passes. Never runs a request. Throws KelpsparError.
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

  /** Cancels the running requests and closes every connection. */
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

  /**
   * Best effort: a daemon that does not receive the cancellation ends the
   * request at its deadline.
   */
  async #cancel(daemon: DaemonAddress, requestId: string): Promise<void> {
    const { timer, progressTimeoutMilliseconds } = this.#services;
    const watchdog = new ProgressWatchdog({
      timer,
      milliseconds: progressTimeoutMilliseconds,
    });
    try {
      const exchange = await watchdog.waitFor(this.#transport.open(daemon, {
        method: "DELETE",
        path: `/v1/requests/${encodeURIComponent(requestId)}`,
        signal: watchdog.signal,
        isolated: true,
      }));
      exchange.release();
    } catch {
      // The caller no longer needs the result of the cancellation.
    } finally {
      watchdog.end();
    }
  }
}
