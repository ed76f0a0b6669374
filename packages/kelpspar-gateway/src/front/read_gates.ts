import type { Socket } from "node:net";
import { ReadGate } from "./read_gate.ts";

/** The read gate of each connection. */
export class ReadGates {
  readonly #gates = new WeakMap<Socket, ReadGate>();

  of(socket: Socket): ReadGate {
    const existing = this.#gates.get(socket);
    if (existing !== undefined) return existing;
    const gate = new ReadGate(socket);
    this.#gates.set(socket, gate);
    return gate;
  }
}
