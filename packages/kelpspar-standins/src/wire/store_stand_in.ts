import type { Server, ServerResponse } from "node:http";
import { createTextServer } from "./create_text_server.ts";
import { listenOnLoopback } from "./listen_on_loopback.ts";

/** A fault of the store: status 503, a connection reset, or no response. */
export type StoreFault = "none" | "busy" | "reset" | "silent";

/** A written row and its time, monotonic milliseconds. */
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

interface PendingFeed {
  readonly table: string;
  readonly after: number;
  readonly answer: () => void;
  /** Resets the connection without a response. */
  readonly drop: () => void;
}

/** A stand-in for the platform's store: rows, transactions and feed. */
export class StoreStandIn {
  fault: StoreFault = "none";
  /** Number of calls received, including failed ones. */
  calls = 0;
  /** Incremented each time that the store is restored from a backup. */
  era = 1;
  #version = 0;
  /** Feed requests from before this version get status 410. */
  #oldestFeedVersion = 0;
  readonly #rows = new Map<string, Row>();
  /** All changes in the order of their versions. */
  #history: Change[] = [];
  readonly #pendingFeeds = new Set<PendingFeed>();
  readonly #server: Server;

  constructor() {
    this.#server = createTextServer((message, text, response) => {
      const url = new URL(message.url ?? "/", "http://store");
      this.#answer(url, text, response);
    });
  }

  /** Listens on loopback; resolves to `address:port`. */
  start(): Promise<string> {
    return listenOnLoopback(this.#server);
  }

  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes a row in place of the operator or a runner. */
  put(table: string, key: string, value: object): void {
    this.putText(table, key, JSON.stringify(value));
  }

  /** Writes a row that may not be JSON. */
  putText(table: string, key: string, text: string): void {
    const value = Buffer.from(text).toString("base64");
    this.#write({ table, part: "", key, value, tombstone: false });
  }

  remove(table: string, key: string): void {
    this.#write({ table, part: "", key, value: "", tombstone: true });
  }

  /** Compacts the history, so that feed readers must read tables again. */
  compact(): void {
    this.#oldestFeedVersion = ++this.#version;
  }

  /** Whether the row exists and has this value. */
  hasRow(table: string, key: string, value: object): boolean {
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    const row = this.#rows.get(rowId({ table, part: "", key }));
    return row !== undefined && !row.tombstone && row.value === text;
  }

  /** Restores the state of this long ago, losing later writes. */
  restoreBackup(lostMilliseconds: number): void {
    const until = performance.now() - lostMilliseconds;
    this.#history = this.#history.filter(({ at }) => at <= until);
    this.#rows.clear();
    for (const { row } of this.#history) this.#rows.set(rowId(row), row);
    this.#version = this.#history.at(-1)?.row.ver ?? 0;
    this.#oldestFeedVersion = Math.min(this.#oldestFeedVersion, this.#version);
    this.era++;
    for (const pending of [...this.#pendingFeeds]) pending.drop();
  }

  #write(row: Omit<Row, "ver">): void {
    const changed = { ...row, ver: ++this.#version };
    this.#rows.set(rowId(row), changed);
    this.#history.push({ row: changed, at: performance.now() });
    for (const pending of [...this.#pendingFeeds]) {
      if (pending.table === row.table) pending.answer();
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
    const { expect = [], puts = [], remove = [] } = JSON.parse(body) as {
      readonly expect?: readonly Omit<Row, "value" | "tombstone">[];
      readonly puts?: readonly Omit<Row, "ver" | "tombstone">[];
      readonly remove?: readonly Omit<Row, "ver" | "tombstone" | "value">[];
    };
    const isExpected = expect.every((row) => this.#versionOf(row) === row.ver);
    if (!isExpected) {
      response.writeHead(412, this.#headers()).end("{}");
      return;
    }
    for (const row of puts) this.#write({ ...row, tombstone: false });
    for (const row of remove) {
      this.#write({ ...row, value: "", tombstone: true });
    }
    this.#send(response, {});
  }

  /** 0 if the row doesn't exist. */
  #versionOf(key: Pick<Row, "table" | "part" | "key">): number {
    const row = this.#rows.get(rowId(key));
    return row === undefined || row.tombstone ? 0 : row.ver;
  }

  #read(url: URL, response: ServerResponse): void {
    const table = url.searchParams.get("table");
    const from = url.searchParams.get("from") ?? "";
    const to = url.searchParams.get("to");
    const rows = [...this.#rows.values()].filter((row) =>
      row.table === table && row.key >= from && !row.tombstone &&
      (to === null || row.key < to)
    );
    this.#send(response, { rows, morePages: false });
  }

  #feed(url: URL, response: ServerResponse): void {
    const table = url.searchParams.get("table") ?? "";
    const after = Number(url.searchParams.get("after"));
    if (after < this.#oldestFeedVersion || after > this.#version) {
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
    const pending: PendingFeed = {
      table,
      after,
      answer: () => {
        clearTimeout(timeout);
        this.#pendingFeeds.delete(pending);
        this.#send(response, { rows: changed() });
      },
      drop: () => {
        clearTimeout(timeout);
        this.#pendingFeeds.delete(pending);
        response.socket?.resetAndDestroy();
      },
    };
    const waitMs = Number(url.searchParams.get("waitMs"));
    const timeout = setTimeout(pending.answer, waitMs);
    this.#pendingFeeds.add(pending);
    response.on("close", () => {
      clearTimeout(timeout);
      this.#pendingFeeds.delete(pending);
    });
  }

  #send(response: ServerResponse, fields: object): void {
    if (response.destroyed) return;
    response.writeHead(200, this.#headers());
    const nowMs = Math.round(performance.now());
    response.end(JSON.stringify({ ...fields, ver: this.#version, nowMs }));
  }

  #headers(): Readonly<Record<string, string>> {
    return {
      "Content-Type": "application/json",
      "Store-Era": String(this.era),
    };
  }
}

function rowId(row: Pick<Row, "table" | "part" | "key">): string {
  return `${row.table}/${row.part}/${row.key}`;
}
