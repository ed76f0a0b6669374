// A proxy whose connections can fall silent, as behind a firewall that forgets
// flows without traffic. New connections work.
import { connect, createServer } from "node:net";

export class IdleProxy {
  #pairs = new Set();
  #server = createServer((near) => this.#accept(near));

  constructor(target) {
    this.target = target;
  }

  async start() {
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    for (const { near, far } of this.#pairs) {
      near.destroy();
      far.destroy();
    }
    this.#server.close();
  }

  /** Silences connections without a byte for so long; returns their number. */
  silenceIdle(milliseconds) {
    const now = performance.now();
    let count = 0;
    for (const pair of this.#pairs) {
      if (pair.isSilent || now - pair.usedAt < milliseconds) continue;
      pair.isSilent = true;
      count++;
    }
    return { silent: count, open: this.#pairs.size };
  }

  #accept(near) {
    const [host, port] = this.target.split(":");
    const far = connect({ host, port: Number(port) });
    const pair = { near, far, isSilent: false, usedAt: performance.now() };
    this.#pairs.add(pair);
    for (const [from, to] of [[near, far], [far, near]]) {
      from.on("data", (chunk) => {
        if (pair.isSilent) return;
        pair.usedAt = performance.now();
        to.write(chunk);
      });
      from.on("error", () => {});
      from.on("close", () => {
        if (pair.isSilent) return;
        this.#pairs.delete(pair);
        to.destroy();
      });
    }
  }
}
