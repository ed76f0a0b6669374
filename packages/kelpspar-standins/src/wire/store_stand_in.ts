import type { Server, ServerResponse } from "node:http";
import { createTextServer } from "./create_text_server.ts";
import { listenOnLoopback } from "./listen_on_loopback.ts";

/** How the store misbehaves: 503, a reset connection, or no answer. */
export type StoreFault = "none" | "busy" | "reset" | "silent";

interface Row {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly value: string;
  readonly ver: number;
  readonly tombstone: boolean;
}

interface Waiter {
  readonly table: string;
  readonly after: number;
  readonly answer: () => void;
}

/** The platform's store at its published protocol: rows, transactions, feed. */
export class StoreStandIn {
  fault: StoreFault = "none";
  /** Calls that were answered or failed. */
  calls = 0;
  #ver = 0;
  /** Feeds from before this version get 410. */
  #oldest = 0;
  readonly #rows = new Map<string, Row>();
  /** Every change by itself, in order. */
  readonly #history: Row[] = [];
  readonly #waiters = new Set<Waiter>();
  readonly #server: Server;

  constructor() {
    this.#server = createTextServer((message, text, response) => {
      const url = new URL(message.url ?? "/", "http://store");
      this.#answer(url, text, response);
    });
  }

  /** Listens on loopback; gives `address:port`. */
  start(): Promise<string> {
    return listenOnLoopback(this.#server);
  }

  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes a row as the operator or a runner does. */
  put(table: string, key: string, value: object): void {
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    this.#write({ table, part: "", key, value: text, tombstone: false });
  }

  remove(table: string, key: string): void {
    this.#write({ table, part: "", key, value: "", tombstone: true });
  }

  /** Forgets the history, so that feeds must read tables again. */
  compact(): void {
    this.#oldest = ++this.#ver;
  }

  #write(row: Omit<Row, "ver">): void {
    const changed = { ...row, ver: ++this.#ver };
    this.#rows.set(`${row.table}/${row.part}/${row.key}`, changed);
    this.#history.push(changed);
    for (const waiter of [...this.#waiters]) {
      if (waiter.table === row.table) waiter.answer();
    }
  }

  #answer(url: URL, body: string, response: ServerResponse): void {
    this.calls++;
    const faults: Readonly<Record<StoreFault, (() => void) | undefined>> = {
      none: undefined,
      busy: () => response.writeHead(503).end(),
      reset: () => response.socket?.resetAndDestroy(),
      silent: () => {},
    };
    const fault = faults[this.fault];
    if (fault !== undefined) {
      fault();
      return;
    }
    const handlers: Readonly<Record<string, () => void>> = {
      "/-/rows-tx": () => this.#transact(body, response),
      "/-/rows-get": () => this.#read(url, response),
      "/-/rows-feed": () => this.#feed(url, response),
    };
    const handler = handlers[url.pathname];
    if (handler === undefined) response.writeHead(404).end();
    else handler();
  }

  #transact(body: string, response: ServerResponse): void {
    const { puts = [], remove = [] } = JSON.parse(body) as {
      readonly puts?: readonly Omit<Row, "ver" | "tombstone">[];
      readonly remove?: readonly Omit<Row, "ver" | "tombstone" | "value">[];
    };
    for (const row of puts) this.#write({ ...row, tombstone: false });
    for (const row of remove) {
      this.#write({ ...row, value: "", tombstone: true });
    }
    this.#send(response, {});
  }

  #read(url: URL, response: ServerResponse): void {
    const table = url.searchParams.get("table");
    const rows = [...this.#rows.values()]
      .filter((row) => row.table === table && !row.tombstone);
    this.#send(response, { rows, morePages: false });
  }

  #feed(url: URL, response: ServerResponse): void {
    const table = url.searchParams.get("table") ?? "";
    const after = Number(url.searchParams.get("after"));
    if (after < this.#oldest) {
      response.writeHead(410).end();
      return;
    }
    const changed = (): readonly Row[] =>
      this.#history.filter((row) => row.table === table && row.ver > after);
    if (changed().length > 0) {
      this.#send(response, { rows: changed() });
      return;
    }
    const waiter: Waiter = {
      table,
      after,
      answer: () => {
        clearTimeout(timeout);
        this.#waiters.delete(waiter);
        this.#send(response, { rows: changed() });
      },
    };
    const waitMs = Number(url.searchParams.get("waitMs"));
    const timeout = setTimeout(waiter.answer, waitMs);
    this.#waiters.add(waiter);
    response.on("close", () => {
      clearTimeout(timeout);
      this.#waiters.delete(waiter);
    });
  }

  #send(response: ServerResponse, fields: object): void {
    if (response.destroyed) return;
    response.writeHead(200, { "Content-Type": "application/json" });
    response.end(JSON.stringify({ ...fields, ver: this.#ver, nowMs: 0 }));
  }
}
