import type { Socket } from "node:net";
import { MalformedAnswerError } from "./malformed_answer_error.ts";

/** Node.js's limit for a head; framing between parts of a body is shorter. */
export const MAXIMUM_OVERHEAD_BYTES = 16 * 1024;
const MAXIMUM_INFORMATIONAL_ANSWERS = 8;

/** Event at which bytes of a socket reach the parser. */
export type ReadEvent = "data" | "readable";

/** Called once when a connection is closed. */
export type MalformedListener = (error: MalformedAnswerError) => void;

/**
 * Closes a connection whose parser consumes bytes without getting further.
 * Parsers limit heads, but neither empty lines before a head, nor the digits of
 * a chunk's size, nor the number of informational answers. Such bytes without
 * end keep the process busy until the request is given up.
 */
export class ProgressGuard {
  readonly #onMalformed: MalformedListener;
  #socket: Socket | undefined;
  #hasProgressed = false;
  #informationalAnswers = 0;
  /** Bytes that the parser had consumed at the last progress. */
  #consumedAtProgress = 0;

  constructor(onMalformed: MalformedListener = () => {}) {
    this.#onMalformed = onMalformed;
  }

  /** Guards a new connection instead of the previous one. */
  watch(socket: Socket, event: ReadEvent): void {
    this.#socket = socket;
    this.#informationalAnswers = 0;
    this.#consumedAtProgress = 0;
    const check = (): void => this.#check(socket);
    // The parser's listener may come after this one.
    socket.on(event, () => process.nextTick(check));
  }

  /** To be called for each head of a final answer and each part of a body. */
  recordProgress(): void {
    this.#hasProgressed = true;
    this.#informationalAnswers = 0;
  }

  /** To be called for each informational answer. */
  recordInformational(): void {
    this.#informationalAnswers++;
    if (this.#informationalAnswers <= MAXIMUM_INFORMATIONAL_ANSWERS) return;
    this.fail(new MalformedAnswerError("informational_answers"));
  }

  /** Closes the connection. */
  fail(error: MalformedAnswerError): void {
    if (this.#socket === undefined || this.#socket.destroyed) return;
    this.#onMalformed(error);
    this.#socket.destroy(error);
  }

  #check(socket: Socket): void {
    if (socket !== this.#socket) return;
    const consumed = socket.bytesRead - socket.readableLength;
    if (this.#hasProgressed) {
      this.#hasProgressed = false;
      this.#consumedAtProgress = consumed;
    } else if (consumed - this.#consumedAtProgress >= MAXIMUM_OVERHEAD_BYTES) {
      this.fail(new MalformedAnswerError("no_progress"));
    }
  }
}
