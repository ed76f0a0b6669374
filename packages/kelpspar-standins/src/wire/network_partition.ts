import type { SocketConnectOpts } from "node:net";
import { Socket } from "node:net";

/** What happens to a daemon's connections to endpoints. */
export type PartitionMode =
  /** Nothing arrives on open connections, and new ones don't open. */
  | "silent"
  /** Open connections are reset, and so are new ones. */
  | "reset"
  /** Open connections live on, and new ones are refused. */
  | "refused";

const connect = Socket.prototype.connect;

/** Partitions the daemon of this process from endpoints. */
export class NetworkPartition {
  readonly #open = new Set<Socket>();
  readonly #ports: ReadonlySet<number>;
  #mode: PartitionMode | undefined;

  /** Takes the addresses of the endpoints, `address:port`. */
  constructor(addresses: readonly string[]) {
    this.#ports = new Set(
      addresses.map((address) => Number(address.split(":").at(-1))),
    );
  }

  /** Intercepts connections; returns the teardown. */
  register(): () => void {
    const intercept = this.#intercept.bind(this);
    Socket.prototype.connect = function (
      this: Socket,
      ...parameters: unknown[]
    ): Socket {
      return intercept(this, parameters);
    } as typeof connect;
    return () => {
      Socket.prototype.connect = connect;
    };
  }

  /** Partitions the daemon from all endpoints. */
  start(mode: PartitionMode): void {
    this.#mode = mode;
    for (const socket of [...this.#open]) {
      if (mode === "silent") silence(socket);
      if (mode === "reset") fail(socket, "ECONNRESET");
    }
  }

  end(): void {
    this.#mode = undefined;
  }

  #intercept(socket: Socket, parameters: unknown[]): Socket {
    if (!this.#isEndpoint(parameters)) {
      return Reflect.apply(connect, socket, parameters) as Socket;
    }
    if (this.#mode === undefined) {
      this.#open.add(socket);
      socket.once("close", () => this.#open.delete(socket));
      return Reflect.apply(connect, socket, parameters) as Socket;
    }
    // Without a handle the socket stays as if it were still connecting.
    Object.assign(socket, { connecting: true });
    const failures = {
      silent: undefined,
      reset: "ECONNRESET",
      refused: "ECONNREFUSED",
    };
    const code = failures[this.#mode];
    if (code !== undefined) setImmediate(() => fail(socket, code));
    return socket;
  }

  #isEndpoint(parameters: unknown[]): boolean {
    const port = portOf(parameters);
    return port !== undefined && this.#ports.has(Number(port));
  }
}

/** Makes nothing arrive any more, and nothing leave. */
function silence(socket: Socket): void {
  socket.pause();
  socket.cork();
  // Consumers resume the socket when they want more data.
  socket.resume = () => socket;
}

function fail(socket: Socket, code: string): void {
  const message = `connect ${code}`;
  socket.destroy(Object.assign(new Error(message), { code }));
}

/** The destination port, in the forms in which Node passes it. */
function portOf(parameters: unknown[]): number | undefined {
  const [first] = parameters;
  const options = (Array.isArray(first) ? first[0] : first) as
    | SocketConnectOpts
    | undefined;
  return options !== undefined && "port" in options ? options.port : undefined;
}
