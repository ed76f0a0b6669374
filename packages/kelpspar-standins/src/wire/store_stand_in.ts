import type { Server, ServerResponse } from "node:http";
import { createTextServer } from "./create_text_server.ts";
import { listenOnLoopback } from "./listen_on_loopback.ts";

/** How the store misbehaves: 503, a reset connection, or no answer. */
export type StoreFault = "none" | "busy" | "reset" | "silent";

/** When a change was written, by the process's monotonic clock. */
interface Change {
  readonly row: Row;
  readonly at: number;
}

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
  /** Loses the answer with its connection. */
  readonly drop: () => void;
}

/** The platform's store at its published protocol: rows, transactions, feed. */
export class StoreStandIn {
  fault: StoreFault = "none";
  /** Calls that were answered or failed. */
  calls = 0;
  /** Rises by one each time that the store comes back from an older copy. */
  era = 1;
  #ver = 0;
  /** Feeds from before this version get 410. */
  #oldest = 0;
  readonly #rows = new Map<string, Row>();
  /** Every change by itself, in order. */
  #history: Change[] = [];
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

  /** Whether there is a row of that value. */
  holds(table: string, key: string, value: object): boolean {
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    const row = this.#rows.get(nameOf({ table, part: "", key }));
    return row !== undefined && !row.tombstone && row.value === text;
  }

  /** Comes back as it was so long ago; what was written since is lost. */
  restore(lostMilliseconds: number): void {
    const until = performance.now() - lostMilliseconds;
    this.#history = this.#history.filter(({ at }) => at <= until);
    this.#rows.clear();
    for (const { row } of this.#history) this.#rows.set(nameOf(row), row);
    this.#ver = this.#history.at(-1)?.row.ver ?? 0;
    this.#oldest = Math.min(this.#oldest, this.#ver);
    this.era++;
    for (const waiter of [...this.#waiters]) waiter.drop();
  }

  #write(row: Omit<Row, "ver">): void {
    const changed = { ...row, ver: ++this.#ver };
    this.#rows.set(nameOf(row), changed);
    this.#history.push({ row: changed, at: performance.now() });
    for (const waiter of [...this.#waiters]) {
      if (waiter.table === row.table) waiter.answer();
    }
  }

  #answer(url: URL, body: string, response: ServerResponse): void {
    this.calls++;
    const faults: Readonly<Record<StoreFault, (() => void) | undefined>> = {
      none: undefined,
      busy: () => response.writeHead(503, this.#headers()).end(),
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
    if (after < this.#oldest || after > this.#ver) {
      response.writeHead(410, this.#headers()).end();
      return;
    }
    const changed = (): readonly Row[] =>
      this.#history.map(({ row }) => row)
        .filter((row) => row.table === table && row.ver > after);
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
      drop: () => {
        clearTimeout(timeout);
        this.#waiters.delete(waiter);
        response.socket?.resetAndDestroy();
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
    response.writeHead(200, this.#headers());
    response.end(JSON.stringify({ ...fields, ver: this.#ver, nowMs: 0 }));
  }

  #headers(): Readonly<Record<string, string>> {
    return {
      "Content-Type": "application/json",
      "Store-Era": String(this.era),
    };
  }
}

function nameOf(row: Pick<Row, "table" | "part" | "key">): string {
  return `${row.table}/${row.part}/${row.key}`;
}
