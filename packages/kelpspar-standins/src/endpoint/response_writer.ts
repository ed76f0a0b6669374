import type { StageRecord } from "kelpspar-shared";
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { JsonServer } from "../http/json_server.ts";
import type { RecordWriter } from "./record_writer.ts";

const STATUS_OK = 200;

/** Streams records as newline-delimited JSON over an HTTP response. */
export class ResponseWriter implements RecordWriter {
  readonly #response: ServerResponse;
  readonly #socket: Socket | null;
  readonly #server: JsonServer;

  constructor(response: ServerResponse, server: JsonServer) {
    this.#response = response;
    this.#socket = response.socket;
    this.#server = server;
  }

  /** Sends the headers, so that the caller knows that the call arrived. */
  sendHeaders(): void {
    if (!this.#isOpen()) return;
    const headers = { "content-type": "application/x-ndjson" };
    this.#response.writeHead(STATUS_OK, headers);
    this.#response.flushHeaders();
  }

  write(record: StageRecord): void {
    if (!this.#isOpen()) return;
    this.#response.write(`${JSON.stringify(record)}\n`);
  }

  end(): void {
    if (this.#isOpen()) this.#response.end();
  }

  drop(): void {
    if (this.#isOpen()) this.#socket?.destroy();
  }

  /**
   * Calls `listener` when the connection breaks before the response ended,
   * except for a silent connection.
   */
  registerDisconnect(listener: () => void): void {
    this.#response.once("close", () => {
      if (this.#response.writableFinished || this.#isSilent()) return;
      listener();
    });
  }

  #isOpen(): boolean {
    return !this.#isSilent() && !this.#response.destroyed &&
      !this.#response.writableEnded;
  }

  #isSilent(): boolean {
    return this.#socket === null || this.#server.isSilent(this.#socket);
  }
}
