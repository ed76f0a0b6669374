import type { AddressInfo, Server, Socket } from "node:net";
import { parseHost } from "kelpspar-shared";
import { connect, createServer } from "node:net";
import { listenOnLoopback } from "./listen_on_loopback.ts";

interface SocketPair {
  /** The connection from the caller. */
  readonly near: Socket;
  /** The connection to the target. */
  readonly far: Socket;
  isSilent: boolean;
  /** When data was last forwarded, monotonic milliseconds. */
  usedAt: number;
}

/** A loopback proxy that injects connection faults between processes. */
export class LoopbackProxy {
  /** Delay before a new connection forwards requests, milliseconds. */
  delayMilliseconds = 0;
  readonly #target: string;
  readonly #server: Server;
  #address: AddressInfo | undefined;
  readonly #pairs = new Set<SocketPair>();

  /** `target` is `address:port`. */
  constructor(target: string) {
    this.#target = target;
    this.#server = createServer((near) => this.#accept(near));
  }

  /** Listens on loopback; resolves to `address:port`. */
  start(): Promise<string> {
    return listenOnLoopback(this.#server);
  }

  stop(): void {
    this.reset();
    // A reset waits for pending writes, which may never finish.
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

  /** Accepts connections again on the same port. */
  resumeListening(): void {
    this.#server.listen(this.#address?.port, "127.0.0.1");
  }

  /** Keeps open connections but forwards nothing on them; new ones work. */
  silence(): void {
    for (const pair of this.#pairs) pair.isSilent = true;
  }

  /**
   * Silences open connections that carried nothing for this long, as a firewall
   * does that forgets idle flows; returns their number.
   */
  silenceResting(milliseconds: number): number {
    const until = performance.now() - milliseconds;
    const resting = [...this.#pairs].filter(({ isSilent, usedAt }) =>
      !isSilent && usedAt <= until
    );
    for (const pair of resting) pair.isSilent = true;
    return resting.length;
  }

  /** Stops forwarding data to the caller on connections that are open now. */
  blockResponses(): void {
    for (const { far } of this.#pairs) far.pause();
  }

  #accept(near: Socket): void {
    const { address: host, port } = parseHost(this.#target);
    const far = connect({ host, port });
    const pair: SocketPair = {
      near,
      far,
      isSilent: false,
      usedAt: performance.now(),
    };
    this.#pairs.add(pair);
    this.#pipe(pair, { from: far, to: near });
    if (this.delayMilliseconds === 0) this.#pipe(pair, { from: near, to: far });
    else {
      near.pause();
      setTimeout(() => {
        this.#pipe(pair, { from: near, to: far });
        near.resume();
      }, this.delayMilliseconds);
    }
    // Forwards a reset as a reset: it marks a body as truncated.
    near.on("error", () => far.resetAndDestroy());
    far.on("error", () => near.resetAndDestroy());
    near.on("close", () => this.#close(pair, far));
    far.on("close", () => this.#close(pair, near));
  }

  #pipe(
    pair: SocketPair,
    direction: { readonly from: Socket; readonly to: Socket },
  ): void {
    direction.from.on("data", (chunk) => {
      if (pair.isSilent) return;
      pair.usedAt = performance.now();
      direction.to.write(chunk);
    });
    direction.from.on("end", () => {
      if (!pair.isSilent) direction.to.end();
    });
  }

  #close(pair: SocketPair, other: Socket): void {
    if (pair.isSilent) return;
    this.#pairs.delete(pair);
    other.destroy();
  }
}
