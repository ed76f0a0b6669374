import type { AddressInfo, Server, Socket } from "node:net";
import { parseHost } from "kelpspar-shared";
import { connect, createServer } from "node:net";
import { listenOnLoopback } from "./listen_on_loopback.ts";

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  isSilent: boolean;
}

/** A loopback proxy that harms connections from outside the processes. */
export class LoopbackProxy {
  /** Time that each new connection waits before it is passed on, ms. */
  delayMilliseconds = 0;
  readonly #target: string;
  readonly #server: Server;
  #address: AddressInfo | undefined;
  readonly #pairs = new Set<Pair>();

  /** `target` is `address:port`. */
  constructor(target: string) {
    this.#target = target;
    this.#server = createServer((near) => this.#take(near));
  }

  /** Listens on loopback; gives `address:port`. */
  start(): Promise<string> {
    return listenOnLoopback(this.#server);
  }

  stop(): void {
    this.reset();
    // A reset waits for writes that may never end.
    for (const { near, far } of this.#pairs) {
      near.destroy();
      far.destroy();
    }
    this.#server.close();
  }

  /** Resets every open connection. */
  reset(): void {
    for (const { near, far } of this.#pairs) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
  }

  /** Resets every connection and refuses new ones. */
  refuse(): void {
    this.#address = this.#server.address() as AddressInfo;
    this.stop();
  }

  /** Takes connections again, where it did before. */
  acceptAgain(): void {
    this.#server.listen(this.#address?.port, "127.0.0.1");
  }

  /** Lets open connections stand and passes nothing on; new ones work. */
  silence(): void {
    for (const pair of this.#pairs) pair.isSilent = true;
  }

  /** Passes nothing on towards the caller from open connections. */
  cutAnswers(): void {
    for (const { far } of this.#pairs) far.pause();
  }

  #take(near: Socket): void {
    const { address: host, port } = parseHost(this.#target);
    const far = connect({ host, port });
    const pair: Pair = { near, far, isSilent: false };
    this.#pairs.add(pair);
    this.#pass(pair, { from: far, to: near });
    if (this.delayMilliseconds === 0) this.#pass(pair, { from: near, to: far });
    else {
      near.pause();
      setTimeout(() => {
        this.#pass(pair, { from: near, to: far });
        near.resume();
      }, this.delayMilliseconds);
    }
    // A reset must stay one: it tells a cut body from a whole one.
    near.on("error", () => far.resetAndDestroy());
    far.on("error", () => near.resetAndDestroy());
    near.on("close", () => this.#end(pair, far));
    far.on("close", () => this.#end(pair, near));
  }

  #pass(
    pair: Pair,
    way: { readonly from: Socket; readonly to: Socket },
  ): void {
    way.from.on("data", (chunk) => {
      if (!pair.isSilent) way.to.write(chunk);
    });
    way.from.on("end", () => {
      if (!pair.isSilent) way.to.end();
    });
  }

  #end(pair: Pair, other: Socket): void {
    if (pair.isSilent) return;
    this.#pairs.delete(pair);
    other.destroy();
  }
}
