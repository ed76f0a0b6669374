import type { Server } from "node:http";
import type { ClosedConnectionsLogOptions } from "./closed_connections_log.ts";
import type { ConnectionClosing } from "./closed_connections_log.ts";
import type { ListenerName } from "./listener_name.ts";
import { ClosedConnectionsLog } from "./closed_connections_log.ts";
import { ConnectionShare } from "./connection_share.ts";
import { divideDescriptors } from "./divide_descriptors.ts";

/** Dependencies of `ConnectionShares`. */
export interface ConnectionSharesOptions extends ClosedConnectionsLogOptions {
  readonly maximumDescriptors: number;
}

/** Divides the descriptors of a process among its listeners. */
export class ConnectionShares {
  readonly #limits: Readonly<Record<ListenerName, number>>;
  readonly #closed: ClosedConnectionsLog;
  readonly #shares = new Map<ListenerName, ConnectionShare>();

  constructor(options: ConnectionSharesOptions) {
    this.#limits = divideDescriptors(options.maximumDescriptors);
    this.#closed = new ClosedConnectionsLog(options);
  }

  /** Keeps a server's connections within its listener's share. */
  limit(listener: ListenerName, server: Server): void {
    const share = new ConnectionShare({
      server,
      maximumConnections: this.#limits[listener],
      onClosed: (closing) => this.noteClosed(listener, closing),
    });
    this.#shares.set(listener, share);
  }

  noteClosed(listener: ListenerName, closing: ConnectionClosing): void {
    this.#closed.note(listener, closing);
  }

  /** Open connections by listener. */
  *openConnections(): Iterable<readonly [ListenerName, number]> {
    for (const [listener, share] of this.#shares) yield [listener, share.size];
  }
}
