import type { CrowdPort } from "./crowd_port.ts";
import type { RawConnectionOptions } from "./raw_connection.ts";
import { callerHeaders } from "../wire/caller_headers.ts";
import { PORT_TARGETS } from "./crowd_port.ts";
import { RawConnection } from "./raw_connection.ts";

/** Deadline of all requests, and the timeout of the site's routes. */
export const CROWD_DEADLINE_MILLISECONDS = 15_000;

/** Options of a `CrowdCaller`. */
export interface CrowdCallerOptions {
  /** Prefix of its attempt ids. */
  readonly name: string;
  /** Its number in the crowd. */
  readonly index: number;
  readonly port: CrowdPort;
  /** `address:port`. */
  readonly address: string;
  readonly host: string;
  /** Whether the crowd sends nothing more. */
  readonly isOver: () => boolean;
}

/** A request's head, as far as it isn't the same for all. */
export interface CrowdHead {
  /** Default POST. */
  readonly method?: string;
  /** Default that of the listener. */
  readonly target?: string;
  /** Lines of the head. */
  readonly fields?: readonly string[];
}

/** One caller of a crowd, with the connections that it has open. */
export class CrowdCaller {
  /** The last connection. */
  connection: RawConnection | undefined;
  readonly #options: CrowdCallerOptions;
  readonly #open = new Set<RawConnection>();
  #attempts = 0;

  constructor(options: CrowdCallerOptions) {
    this.#options = options;
  }

  get isOver(): boolean {
    return this.#options.isOver();
  }

  async connect(
    options: Omit<RawConnectionOptions, "address"> = {},
  ): Promise<RawConnection> {
    const { address } = this.#options;
    const connection = new RawConnection({ ...options, address });
    this.#open.add(connection);
    connection.onClose(() => this.#open.delete(connection));
    this.connection = connection;
    await connection.connected;
    return connection;
  }

  /** Writes `piece` until `bytes` were written, as long as that goes on. */
  async writeRepeatedly(
    piece: Uint8Array,
    { bytes, pauseMilliseconds = 0 }: {
      readonly bytes: number;
      readonly pauseMilliseconds?: number;
    },
  ): Promise<void> {
    const { connection } = this;
    for (let rest = bytes; rest > 0; rest -= piece.length) {
      if (connection === undefined || connection.isClosed || this.isOver) {
        return;
      }
      await connection.write(
        rest < piece.length ? piece.subarray(0, rest) : piece,
      );
      if (pauseMilliseconds > 0) {
        await connection.waitUntil(() => false, pauseMilliseconds);
      }
    }
  }

  /** The head of a new request. */
  head({ method = "POST", target, fields = [] }: CrowdHead = {}): string {
    const { name, index, port, host } = this.#options;
    const targets = PORT_TARGETS[port];
    const headers = callerHeaders({
      attemptId: `${name}-${index}-${this.#attempts++}`,
      deadlineMilliseconds: CROWD_DEADLINE_MILLISECONDS,
    });
    return [
      `${method} ${target ?? targets[index % targets.length]} HTTP/1.1`,
      `Host: ${host}`,
      ...Object.entries(headers).map(([key, value]) => `${key}: ${value}`),
      ...fields,
      "\r\n",
    ].join("\r\n");
  }

  close(): void {
    for (const connection of this.#open) connection.close();
  }
}
