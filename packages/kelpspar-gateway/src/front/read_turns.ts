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
    const wait = (socket: Socket): void => this.#wait(socket);
    return class CountedMessage extends IncomingMessage {
      #parts = 0;

      override push(chunk: unknown, encoding?: BufferEncoding): boolean {
        if (++this.#parts % partsPerTurn === 0) wait(this.socket);
        return super.push(chunk, encoding);
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
