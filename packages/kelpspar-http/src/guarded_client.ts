import type { Dispatcher } from "undici";
import type { MalformedListener } from "./progress_guard.ts";
import { buildConnector, Client } from "undici";
import { GuardedHandler } from "./guarded_handler.ts";
import { ProgressGuard } from "./progress_guard.ts";

/**
 * Above what one read adds to a head within the guard's limit, so that the guard
 * limits heads. undici's own limit creates an error for each further header of
 * the read, of which there may be thousands.
 */
const MAXIMUM_HEADER_BYTES = 128 * 1024;

/** How connections are opened: options of a connector, or one. */
export type ConnectOptions =
  | buildConnector.BuildOptions
  | buildConnector.connector;

/** Options of a `GuardedClient`. */
export interface GuardedClientOptions extends Omit<Client.Options, "connect"> {
  readonly connect?: ConnectOptions | undefined;
  /** Called when the connection is closed for what came on it; default none. */
  readonly onMalformed?: MalformedListener | undefined;
}

/** A client of one connection that a `ProgressGuard` watches. */
export class GuardedClient extends Client {
  readonly #guard: ProgressGuard;

  constructor(origin: string | URL, options: GuardedClientOptions = {}) {
    const { connect = {}, onMalformed, ...clientOptions } = options;
    const connector = typeof connect === "function"
      ? connect
      : buildConnector(connect);
    const guard = new ProgressGuard(onMalformed);
    super(origin, {
      ...clientOptions,
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      connect: (target, callback) =>
        connector(target, (...result) => {
          const [error, socket] = result;
          if (error === null) guard.watch(socket, "readable");
          callback(...result);
        }),
    });
    this.#guard = guard;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    return super.dispatch(options, new GuardedHandler(handler, this.#guard));
  }
}
