import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ReadGates } from "./read_gates.ts";

/**
 * A connection with more waiting requests isn't read on. Below it the daemon
 * reads on, which is how it notices that the caller is gone.
 */
const MAXIMUM_READ_AHEAD = 4;
/**
 * Waiting requests of all connections; each takes about 2 KB. More than a single
 * read of one connection delivers.
 */
const MAXIMUM_WAITING_REQUESTS = 4_000;

/** A request in the order of its connection. */
export interface QueuedRequest {
  readonly socket: Socket;
  readonly response: ServerResponse;
  /** Serves the request; its turn ends when its response closes. */
  readonly serve: () => void;
}

/** Options of `RequestQueue`. */
export interface RequestQueueOptions {
  readonly gates: ReadGates;
  readonly maximumReadAhead?: number;
  readonly maximumWaiting?: number;
  /** Called when a connection is closed for its pipelined requests. */
  readonly onClosed?: () => void;
}

/** Requests of one connection. */
interface ConnectionQueue {
  readonly waiting: QueuedRequest[];
  isServing: boolean;
}

/**
 * Serves the requests of each connection one at a time, in order. Requests in
 * progress at the same time would need a connection to an endpoint each.
 */
export class RequestQueue {
  readonly #gates: ReadGates;
  readonly #maximumReadAhead: number;
  readonly #maximumWaiting: number;
  readonly #onClosed: () => void;
  readonly #queues = new WeakMap<Socket, ConnectionQueue>();
  #waiting = 0;

  constructor(options: RequestQueueOptions) {
    this.#gates = options.gates;
    this.#maximumReadAhead = options.maximumReadAhead ?? MAXIMUM_READ_AHEAD;
    this.#maximumWaiting = options.maximumWaiting ?? MAXIMUM_WAITING_REQUESTS;
    this.#onClosed = options.onClosed ?? ((): void => {});
  }

  /** Requests that wait for their turn, over all connections. */
  get waiting(): number {
    return this.#waiting;
  }

  add(request: QueuedRequest): void {
    const { socket } = request;
    // The parser finishes its current read after the connection was closed.
    if (socket.destroyed) return;
    const queue = this.#queueOf(socket);
    if (!queue.isServing) {
      this.#serve(queue, request);
      return;
    }
    queue.waiting.push(request);
    this.#waiting++;
    if (queue.waiting.length <= this.#maximumReadAhead) return;
    this.#gates.of(socket).hold("pipelined_requests");
    if (this.#waiting <= this.#maximumWaiting) return;
    this.#drop(queue);
    this.#onClosed();
    socket.destroy();
  }

  #queueOf(socket: Socket): ConnectionQueue {
    const existing = this.#queues.get(socket);
    if (existing !== undefined) return existing;
    const queue: ConnectionQueue = { waiting: [], isServing: false };
    this.#queues.set(socket, queue);
    socket.once("close", () => this.#drop(queue));
    return queue;
  }

  #serve(queue: ConnectionQueue, request: QueuedRequest): void {
    queue.isServing = true;
    request.response.once("close", () => this.#serveNext(queue));
    request.serve();
  }

  #serveNext(queue: ConnectionQueue): void {
    const next = queue.waiting.shift();
    if (next === undefined) {
      queue.isServing = false;
      return;
    }
    this.#waiting--;
    const { socket } = next;
    if (queue.waiting.length <= this.#maximumReadAhead) {
      this.#gates.of(socket).release("pipelined_requests");
    }
    // The event loop polls sockets between the two, so that a caller that is
    // gone is noticed before its next request runs.
    setImmediate(() =>
      setImmediate(() => {
        if (socket.destroyed || !socket.writable) this.#drop(queue);
        else this.#serve(queue, next);
      })
    );
  }

  #drop(queue: ConnectionQueue): void {
    this.#waiting -= queue.waiting.length;
    queue.waiting.length = 0;
  }
}
