import type { TimerService } from "kelpspar-shared";
import type {
  IncomingMessage,
  RequestListener,
  Server,
  ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Route } from "./route.ts";
import { createServer } from "node:http";
import { createServer as createTlsServer } from "node:https";
import { KelpsparError, toKelpsparError } from "kelpspar-shared";
import { mergeTeardowns } from "../state/merge_teardowns.ts";
import { answerClientError } from "./answer_client_error.ts";
import { Router } from "./router.ts";
import { sendFailure } from "./send_json.ts";

/** Address, limits and routes of an `HttpServer`. */
export interface HttpServerOptions {
  readonly address: string;
  readonly port: number;
  readonly routes: readonly Route[];
  /** Handles every path under `prefix`, before the routes. */
  readonly mounted?: {
    readonly prefix: string;
    readonly listener: RequestListener;
  };
  readonly maximumHeaderBytes: number;
  readonly headersTimeoutMilliseconds: number;
  readonly requestTimeoutMilliseconds: number;
  readonly maximumConnections: number;
  readonly tls?: { readonly certificate: string; readonly key: string };
  readonly timer: TimerService;
  /** True when connections are to be closed after the current response. */
  readonly isClosing: () => boolean;
  /** Other daemons, for responses that redirect a caller. */
  readonly elsewhere: () => readonly string[];
  readonly onInternalError: (error: KelpsparError) => void;
}

const KEEP_ALIVE_MILLISECONDS = 30_000;
const CLOSE_POLL_MILLISECONDS = 50;

/** The HTTP server for callers, operators and other daemons. */
export class HttpServer {
  readonly #options: HttpServerOptions;
  readonly #router: Router;
  readonly #server: Server;
  #openResponses = 0;

  constructor(options: HttpServerOptions) {
    this.#options = options;
    this.#router = new Router(options.routes);
    this.#server = this.#createServer();
  }

  /** Starts listening; resolves to the port. Throws `listen_failed`. */
  async listen(): Promise<number> {
    const { address, port } = this.#options;
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", (cause) =>
        reject(
          new KelpsparError(
            "listen_failed",
            `Cannot listen on ${address}:${port}: ${cause.message}`,
            { cause },
          ),
        ));
      this.#server.listen(port, address, resolve);
    });
    const bound = this.#server.address();
    return typeof bound === "object" && bound !== null ? bound.port : port;
  }

  /**
   * Stops accepting connections and waits for responses in flight. Connections
   * that carry no request, or become idle later, are closed by a poll, since
   * they would keep the process alive. The limit closes those of callers that
   * stopped reading.
   */
  async close(limitMilliseconds: number): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
    const closeUnusedConnections = (): void => {
      if (this.#openResponses === 0) this.#server.closeAllConnections();
      else this.#server.closeIdleConnections();
    };
    closeUnusedConnections();
    const { timer } = this.#options;
    const stop = mergeTeardowns(
      timer.registerInterval(closeUnusedConnections, CLOSE_POLL_MILLISECONDS),
      timer.registerTimeout(
        () => this.#server.closeAllConnections(),
        limitMilliseconds,
      ),
    );
    await closed;
    stop();
  }

  #createServer(): Server {
    const options = this.#options;
    const listener: RequestListener = (request, response) =>
      void this.#handle(request, response);
    const limits = {
      maxHeaderSize: options.maximumHeaderBytes,
      headersTimeout: options.headersTimeoutMilliseconds,
      requestTimeout: options.requestTimeoutMilliseconds,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      connectionsCheckingInterval: 1_000,
      // Node.js would reject a request without a host with an empty body.
      requireHostHeader: false,
    };
    const server: Server = options.tls === undefined
      ? createServer(limits, listener)
      : createTlsServer(
        { ...limits, cert: options.tls.certificate, key: options.tls.key },
        listener,
      );
    server.maxConnections = options.maximumConnections;
    server.on(
      "clientError",
      (error, socket) => answerClientError(error, socket as Socket),
    );
    server.on(
      "checkExpectation",
      (_request, response: ServerResponse) =>
        this.#fail(response, createExpectationError()),
    );
    server.on(
      "connect",
      (_request, socket) =>
        answerClientError(new Error("CONNECT"), socket as Socket),
    );
    return server;
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#openResponses++;
    response.on("close", () => this.#openResponses--);
    response.on("error", () => response.destroy());
    const { mounted, isClosing } = this.#options;
    if (isClosing()) response.setHeader("connection", "close");
    try {
      requireHost(request);
      const url = parseUrl(request.url ?? "/");
      if (
        mounted !== undefined && url.pathname.startsWith(`${mounted.prefix}/`)
      ) {
        return mounted.listener(request, response);
      }
      const method = request.method ?? "";
      const match = this.#router.match(method, url.pathname);
      await match.route.handle({
        request,
        response,
        url,
        parameters: match.parameters,
      });
    } catch (thrown) {
      this.#fail(response, thrown);
    }
  }

  #fail(response: ServerResponse, thrown: unknown): void {
    const error = toKelpsparError(thrown);
    if (error.result === "internal_error") {
      this.#options.onInternalError(error);
    }
    if (response.headersSent) {
      // Abort a failed stream, so that it does not look complete.
      response.destroy();
      return;
    }
    const elsewhere = this.#options.elsewhere();
    sendFailure(response, error, isRedirect(error) ? { elsewhere } : {});
  }
}

/** Throws `malformed_request` for an HTTP/1.1 request without a host. */
function requireHost(request: IncomingMessage): void {
  if (request.httpVersion !== "1.1") return;
  if (request.headers.host !== undefined) return;
  throw new KelpsparError(
    "malformed_request",
    "The request names no host",
  );
}

function createExpectationError(): KelpsparError {
  return new KelpsparError(
    "malformed_request",
    "The request expects what cannot be met",
  );
}

/** Throws `malformed_request` for a path that is not a valid URL path. */
function parseUrl(path: string): URL {
  const text = `http://localhost${path}`;
  if (path.startsWith("/") && URL.canParse(text)) return new URL(text);
  throw new KelpsparError("malformed_request", "The request names no path");
}

function isRedirect(error: KelpsparError): boolean {
  return error.result === "draining" || error.result === "no_configuration" ||
    error.result === "wrong_daemon";
}
