import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "earl";
import fc from "fast-check";
import { KelpsparError } from "kelpspar-shared";
import { connect } from "node:net";
import { after, before, test } from "node:test";
import { FrontServer } from "../../front/front_server.ts";
import { OpenExchanges } from "../../front/open_exchanges.ts";
import { createTextServer } from "../../front/text_server.ts";

const RUNS = 200;
const TARGETS = ["//", "//[", "///", "http://", "/%", "*", "//a:b", "/\\\\["];

let pages: Server;
let pagesPort = 0;

before(async () => {
  pages = createTextServer((path) => ({
    status: 200,
    contentType: "text/plain",
    text: path,
  }));
  await new Promise<void>((resolve) =>
    pages.listen(0, "127.0.0.1", () => resolve())
  );
  pagesPort = (pages.address() as AddressInfo).port;
});

after(() => {
  pages.close();
});

/** Sends one request and returns the whole answer. */
function send(port: number, head: string): Promise<string> {
  return new Promise((resolve) => {
    let answer = "";
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => {});
    socket.on("data", (bytes) => {
      answer += bytes.toString("latin1");
    });
    socket.on("close", () => resolve(answer));
    socket.end(`${head}\r\nHost: a\r\nConnection: close\r\n\r\n`, "latin1");
  });
}

// Guards against a path of a page that ends the process.
test("a page's server answers any path", async () => {
  const target = fc.oneof(
    fc.constantFrom(...TARGETS),
    fc.string({ unit: fc.constantFrom(..."/:[]%#?@\\.a1") })
      .map((text) => `/${text}`),
  );
  await fc.assert(
    fc.asyncProperty(target, async (path) => {
      expect(await send(pagesPort, `GET ${path} HTTP/1.1`))
        .toEqual(expect.regex(/^HTTP\/1\.1 (200|400) /));
    }),
    { numRuns: RUNS, examples: TARGETS.map((path) => [path]) },
  );
  expect(await send(pagesPort, "GET // HTTP/1.1"))
    .toEqual(expect.includes("1001 malformed_request"));
});

// Guards against a request that ends the process when decoding or serving it
// fails.
test("a request that can't be decoded or served fails alone", async () => {
  const front = new FrontServer({
    decode: ({ url }) => {
      if (url === "/a") throw new KelpsparError("malformed_request", "header");
      throw new Error("unexpected");
    },
    isLeaving: () => false,
    exchanges: new OpenExchanges(),
    serve: () => Promise.resolve(),
  });
  const probe = createTextServer(() => undefined);
  await new Promise<void>((resolve) =>
    probe.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = probe.address() as AddressInfo;
  await new Promise((resolve) => probe.close(resolve));
  await front.listen(`127.0.0.1:${port}`);
  expect(await send(port, "GET /b HTTP/1.1")).toEqual("");
  const answer = await send(port, "GET /a HTTP/1.1");
  expect(answer).toEqual(expect.regex(/^HTTP\/1\.1 400 /));
  expect(answer).toEqual(expect.includes("1001 malformed_request: header"));
  front.stopListening();
  front.closeIdleConnections();
});
