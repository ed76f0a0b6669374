import type { AddressInfo } from "node:net";
import type { RequestListener, Server } from "node:http";
import { expect } from "earl";
import { createServer } from "node:http";
import { test } from "node:test";
import { createGuardedAgent } from "../../create_guarded_agent.ts";

const LARGE_BODY_BYTES = 4 * 1024 * 1024;
const SMALL_PARTS = 20_000;

async function withServer(
  listener: RequestListener,
  check: (origin: string) => Promise<void>,
): Promise<void> {
  const server: Server = createServer(listener);
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  try {
    await check(`http://127.0.0.1:${port}`);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

async function read(origin: string): Promise<number> {
  const agent = createGuardedAgent({ pipelining: 1 });
  try {
    const { body } = await agent.request({ origin, path: "/", method: "GET" });
    return (await body.arrayBuffer()).byteLength;
  } finally {
    await agent.destroy();
  }
}

// Guards against a process that ends because a connection is refused.
test("a refused connection fails the request alone", async () => {
  const failure = await read("http://127.0.0.1:1").catch((error) => error.code);
  expect(failure).toEqual("ECONNREFUSED");
});

// Guards against sound answers that are cut for their size or framing.
test("a large body and one of many small chunks are read whole", async () => {
  await withServer((_, response) => {
    response.end(Buffer.alloc(LARGE_BODY_BYTES));
  }, async (origin) => expect(await read(origin)).toEqual(LARGE_BODY_BYTES));
  await withServer((_, response) => {
    for (let part = 0; part < SMALL_PARTS; part++) response.write("x");
    response.end();
  }, async (origin) => expect(await read(origin)).toEqual(SMALL_PARTS));
});

// Guards against sound answers that are cut while their reader is slow.
test("a body whose reader pauses is read whole", async () => {
  await withServer((_, response) => {
    response.end(Buffer.alloc(LARGE_BODY_BYTES));
  }, async (origin) => {
    const agent = createGuardedAgent({ pipelining: 1 });
    const { body } = await agent.request({ origin, path: "/", method: "GET" });
    let length = 0;
    for await (const chunk of body) {
      length += (chunk as Buffer).length;
      if (length % 7 === 0) await new Promise((go) => setTimeout(go, 5));
    }
    await agent.destroy();
    expect(length).toEqual(LARGE_BODY_BYTES);
  });
});

// Guards against connections that carry several answers and are cut for the sum
// of their heads.
test("many answers on one connection are read", async () => {
  await withServer((_, response) => {
    response.setHeader("X-Padding", "x".repeat(4_000));
    response.writeProcessing();
    response.end("ok");
  }, async (origin) => {
    const agent = createGuardedAgent({ pipelining: 1, connections: 1 });
    for (let number = 0; number < 20; number++) {
      const { body } = await agent.request({
        origin,
        path: "/",
        method: "GET",
      });
      expect(await body.text()).toEqual("ok");
    }
    await agent.destroy();
  });
});
