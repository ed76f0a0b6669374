import type { Socket } from "node:net";
import type { ReadGate } from "./read_gate.ts";
import type { ReadGates } from "./read_gates.ts";
import { IncomingMessage } from "node:http";

/** A connection waits for its turn after this many parts of a body. */
const PARTS_PER_TURN = 1_024;

/** Options of `ReadTurns`. */
export interface ReadTurnsOptions {
  readonly gates: ReadGates;
  readonly partsPerTurn?: number;
}

/**
 * Lets connections whose bodies have very many parts read one after another,
 * one in each turn of the event loop. A single read may deliver ten thousand
 * chunks of one byte, so that many such connections would hold up all others.
 * A connection whose body nobody reads yet waits until somebody does: each part
 * takes far more memory than the bytes that Node.js limits.
 */
export class ReadTurns {
  readonly #gates: ReadGates;
  readonly #partsPerTurn: number;
  readonly #queue: ReadGate[] = [];

  constructor(options: ReadTurnsOptions) {
    this.#gates = options.gates;
    this.#partsPerTurn = options.partsPerTurn ?? PARTS_PER_TURN;
  }

  /** Creates the class of messages whose parts are counted. */
  createMessageClass(): typeof IncomingMessage {
    const partsPerTurn = this.#partsPerTurn;
    const gates = this.#gates;
    const wait = (socket: Socket): void => this.#wait(socket);
    return class CountedMessage extends IncomingMessage {
      #parts = 0;
      #isRead = false;

      override push(chunk: unknown, encoding?: BufferEncoding): boolean {
        if (++this.#parts % partsPerTurn === 0) {
          if (this.#isRead) wait(this.socket);
          else gates.of(this.socket).hold("unread_parts");
        }
        return super.push(chunk, encoding);
      }

      override _read(size: number): void {
        if (!this.#isRead) {
          this.#isRead = true;
          gates.of(this.socket).release("unread_parts");
        }
        super._read(size);
      }
    };
  }

  #wait(socket: Socket): void {
    const gate = this.#gates.of(socket);
    if (this.#queue.includes(gate)) return;
    gate.hold("many_parts");
    this.#queue.push(gate);
    if (this.#queue.length === 1) this.#schedule();
  }

  #schedule(): void {
    setImmediate(() => {
      this.#queue.shift()?.release("many_parts");
      if (this.#queue.length > 0) this.#schedule();
    });
  }
}
