// A stand-in of the platform's store that answers in pages and in order:
// 500 rows or 1 MB a page, 4 ms an answer, each page as of a single moment.
import { createServer } from "node:http";

const PAGE_ROWS = 500;
const PAGE_BYTES = 1_000_000;
const ANSWER_MILLISECONDS = 4;

export class PagedStore {
  #version = 0;
  /** Rows by table, then by key. */
  #tables = new Map();
  /** Changes in the order of their versions. */
  #history = [];
  #waiting = new Set();
  #server = createServer((message, response) => {
    const chunks = [];
    message.on("data", (chunk) => chunks.push(chunk));
    message.on("end", () => {
      const url = new URL(message.url, "http://store");
      const body = Buffer.concat(chunks).toString();
      setTimeout(
        () => this.#answer(url, body, response),
        ANSWER_MILLISECONDS,
      );
    });
  });
  /** Called when rows of a table were read; for the record. */
  onRead = () => {};

  async start() {
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes a row in place of the operator or a runner. */
  put(table, key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    this.#write({ table, part: "", key, value: text });
  }

  remove(table, key) {
    this.#write({ table, part: "", key, value: "", tombstone: true });
  }

  #rowsOf(table) {
    const rows = this.#tables.get(table) ?? new Map();
    this.#tables.set(table, rows);
    return rows;
  }

  #write(row) {
    const changed = { ...row, ver: ++this.#version };
    if (row.tombstone) this.#rowsOf(row.table).delete(row.key);
    else this.#rowsOf(row.table).set(row.key, changed);
    this.#history.push(changed);
    for (const waiting of [...this.#waiting]) {
      if (waiting.table === row.table) waiting.answer();
    }
  }

  #answer(url, body, response) {
    const handlers = {
      "/-/rows-tx": () => this.#transact(JSON.parse(body), response),
      "/-/rows-get": () => this.#read(url.searchParams, response),
      "/-/rows-feed": () => this.#feed(url.searchParams, response),
    };
    const handler = handlers[url.pathname];
    if (handler === undefined) response.writeHead(404).end();
    else handler();
  }

  #transact({ expect = [], puts = [], remove = [] }, response) {
    const differs = expect.some(({ table, key, ver }) =>
      (this.#rowsOf(table).get(key)?.ver ?? 0) !== ver
    );
    if (differs) {
      const rows = expect.flatMap(({ table, key }) =>
        this.#rowsOf(table).get(key) ?? []
      );
      return this.#send(response, 412, { rows });
    }
    for (const { table, part, key, value } of puts) {
      this.#write({ table, part, key, value });
    }
    for (const { table, part, key } of remove) {
      this.#write({ table, part, key, value: "", tombstone: true });
    }
    return this.#send(response, 200, {});
  }

  #read(query, response) {
    const table = query.get("table");
    const from = query.get("from") ?? "";
    const to = query.get("to");
    const limit = Math.min(Number(query.get("limit") ?? PAGE_ROWS), PAGE_ROWS);
    const all = [...this.#rowsOf(table).values()]
      .filter(({ key }) => key >= from && (to === null || key < to))
      .sort((first, second) => first.key < second.key ? -1 : 1);
    const rows = [];
    let bytes = 0;
    for (const row of all) {
      bytes += row.value.length;
      if (rows.length >= limit || (rows.length > 0 && bytes > PAGE_BYTES)) {
        break;
      }
      rows.push(row);
    }
    this.onRead(table, from, rows.length, this.#version);
    this.#send(response, 200, { rows, morePages: rows.length < all.length });
  }

  #feed(query, response) {
    const table = query.get("table");
    const after = Number(query.get("after"));
    const changed = () => {
      const rows = [];
      for (let index = this.#history.length - 1; index >= 0; index--) {
        const row = this.#history[index];
        if (row.ver <= after) break;
        if (row.table === table) rows.push(row);
      }
      return rows.reverse();
    };
    const rows = changed();
    if (rows.length > 0) return this.#send(response, 200, { rows });
    const waiting = {
      table,
      answer: () => {
        clearTimeout(timeout);
        this.#waiting.delete(waiting);
        this.#send(response, 200, { rows: changed() });
      },
    };
    const timeout = setTimeout(waiting.answer, Number(query.get("waitMs")));
    this.#waiting.add(waiting);
    response.on("close", () => {
      clearTimeout(timeout);
      this.#waiting.delete(waiting);
    });
  }

  #send(response, status, fields) {
    if (response.destroyed) return;
    response.writeHead(status, { "Content-Type": "application/json" });
    response.end(
      JSON.stringify({ ...fields, ver: this.#version, nowMs: Date.now() }),
    );
  }
}
