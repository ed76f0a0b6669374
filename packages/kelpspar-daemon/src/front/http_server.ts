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

/** Where the front listens, its limits and what it answers. */
export interface HttpFrontOptions {
  readonly address: string;
  readonly port: number;
  readonly routes: readonly Route[];
  /** Takes whole paths that start with `prefix`, before the routes. */
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
  /** True when connections are to be closed after their answer. */
  readonly isClosing: () => boolean;
  /** Other daemons, for answers that send a caller elsewhere. */
  readonly elsewhere: () => readonly string[];
  readonly onInternalError: (error: KelpsparError) => void;
}

const KEEP_ALIVE_MILLISECONDS = 30_000;
const CLOSE_CHECK_MILLISECONDS = 50;

/** The listener for callers, operators and other daemons. */
export class HttpFront {
  readonly #options: HttpFrontOptions;
  readonly #router: Router;
  readonly #server: Server;
  #answering = 0;

  constructor(options: HttpFrontOptions) {
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
   * Stops taking connections and waits for the answers under way. What goes
   * wrong without the check: a connection that carries no request, or that
   * became idle a moment later, keeps the process from ending; and so does a
   * caller that stopped reading, for whom the limit is.
   */
  async close(limitMilliseconds: number): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
    const closeUnused = (): void => {
      if (this.#answering === 0) this.#server.closeAllConnections();
      else this.#server.closeIdleConnections();
    };
    closeUnused();
    const { timer } = this.#options;
    const stop = mergeTeardowns(
      timer.registerInterval(closeUnused, CLOSE_CHECK_MILLISECONDS),
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
      void this.#answer(request, response);
    const limits = {
      maxHeaderSize: options.maximumHeaderBytes,
      headersTimeout: options.headersTimeoutMilliseconds,
      requestTimeout: options.requestTimeoutMilliseconds,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      connectionsCheckingInterval: 1_000,
      // Node.js would refuse a request without a host by an empty body.
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
        this.#fail(response, unmetExpectation()),
    );
    server.on(
      "connect",
      (_request, socket) =>
        answerClientError(new Error("CONNECT"), socket as Socket),
    );
    return server;
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#answering++;
    response.on("close", () => this.#answering--);
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
      // A stream that cannot go on is cut, never ended as if it were whole.
      response.destroy();
      return;
    }
    const elsewhere = this.#options.elsewhere();
    sendFailure(response, error, needsElsewhere(error) ? { elsewhere } : {});
  }
}

/** Throws `malformed_request` where HTTP/1.1 demands a host. */
function requireHost(request: IncomingMessage): void {
  if (request.httpVersion !== "1.1") return;
  if (request.headers.host !== undefined) return;
  throw new KelpsparError("malformed_request", "The request names no host");
}

function unmetExpectation(): KelpsparError {
  return new KelpsparError(
    "malformed_request",
    "The request expects what cannot be met",
  );
}

/** Throws `malformed_request` for what only looks like a path. */
function parseUrl(path: string): URL {
  const text = `http://localhost${path}`;
  if (path.startsWith("/") && URL.canParse(text)) return new URL(text);
  throw new KelpsparError("malformed_request", "The request names no path");
}

function needsElsewhere(error: KelpsparError): boolean {
  return error.result === "draining" || error.result === "no_configuration" ||
    error.result === "wrong_daemon";
}
