import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { TRPCClient } from "@trpc/client";
import { createTRPCClient } from "@trpc/client";
import { initTRPC } from "@trpc/server";
import { expect } from "earl";
import { CallerBudget } from "kelpspar-http";
import { SystemTimer } from "kelpspar-shared";
import { createServer } from "node:http";
import { connect } from "node:net";
import { after, before, test } from "node:test";
import { Agent } from "undici";
import { z } from "zod";
import { createPeerLink } from "../../peer_link.ts";
import { createRouterListener } from "../../router_listener.ts";

const PATH = "/peer";
const MAXIMUM_BODY_BYTES = 1_000;
const BUDGET_BYTES = 10_000;

const trpc = initTRPC.context<{ readonly caller: string }>().create({
  isDev: false,
});
const router = trpc.router({
  greet: trpc.procedure.input(z.object({ name: z.string() })).mutation((
    { ctx, input },
  ) => `${ctx.caller} greets ${input.name}`),
  count: trpc.procedure.query(() => 7),
  fail: trpc.procedure.mutation(() => {
    throw new Error("a fault within");
  }),
});

const agent = new Agent();
const budget = new CallerBudget({
  timer: new SystemTimer(),
  maximumBytes: BUDGET_BYTES,
});
let server: Server;
let origin = "";

before(async () => {
  server = createServer(createRouterListener({
    router,
    path: PATH,
    maximumBodyBytes: MAXIMUM_BODY_BYTES,
    budget,
    createContext: (message) => ({
      caller: String(message.headers["x-caller"]),
    }),
  }));
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});

after(async () => {
  await agent.destroy();
  server.close();
});

function createClient(): TRPCClient<typeof router> {
  return createTRPCClient<typeof router>({
    links: [createPeerLink({
      origin,
      path: PATH,
      agent,
      headers: { "x-caller": "d1" },
    })],
  });
}

async function post(
  path: string,
  body: string,
): Promise<{ readonly status: number; readonly text: string }> {
  const answer = await agent.request({ origin, path, method: "POST", body });
  return { status: answer.statusCode, text: await answer.body.text() };
}

function failure(call: Promise<unknown>): Promise<string> {
  return call.then(() => "", (error: unknown) => String(error));
}

test("calls with and without input return their result", async () => {
  const client = createClient();
  expect(await client.greet.mutate({ name: "d2" })).toEqual("d1 greets d2");
  expect(await client.count.query()).toEqual(7);
});

// Guards against a caller that treats an error as a result.
test("an error of the procedure and an input of the wrong type reject", async () => {
  const client = createClient();
  expect((await failure(client.fail.mutate())).includes("a fault within"))
    .toEqual(true);
  const wrongType = { name: 7 } as unknown as { name: string };
  expect(await failure(client.greet.mutate(wrongType))).not.toEqual("");
});

// Guards against stack traces in responses to anyone who can reach the port.
test("an error response contains no stack trace", async () => {
  const { text } = await post(`${PATH}/fail`, "null");
  expect(text.includes("router_listener_test")).toEqual(false);
});

// Guards against input that crashes the process or is misread as valid.
test("unreadable input is rejected with a matching HTTP status", async () => {
  const long = JSON.stringify({ name: "x".repeat(MAXIMUM_BODY_BYTES) });
  const statuses = [
    await post(`${PATH}/greet`, "{"),
    await post(`${PATH}/greet`, ""),
    await post(`${PATH}/nothing`, "null"),
    await post("/elsewhere", "null"),
    await post(`${PATH}/greet`, long),
  ].map(({ status }) => status);
  expect(statuses).toEqual([400, 400, 404, 404, 413]);
});

// Guards against a connection that stays open, half read, after its refusal.
for (const size of [1, 1_000]) {
  test(`a refused input in chunks of ${size} without end is closed`, async () => {
    const socket = connect(Number(new URL(origin).port), "127.0.0.1");
    let isClosed = false;
    socket.on("error", () => {});
    socket.on("close", () => isClosed = true);
    socket.resume();
    socket.write(
      `POST ${PATH}/greet HTTP/1.1\r\nHost: a\r\n` +
        "Transfer-Encoding: chunked\r\n\r\n",
    );
    const chunk = `${size.toString(16)}\r\n${"x".repeat(size)}\r\n`;
    while (!isClosed) {
      socket.write(chunk.repeat(1_000));
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
  });
}

// Guards against inputs that fill the memory beside what callers send.
test("an input is refused while there is no memory for it", async () => {
  const kept = budget.open({ state: "kept" });
  kept.set(BUDGET_BYTES - 10);
  const input = JSON.stringify({ name: "a name of more" });
  expect((await post(`${PATH}/greet`, input)).status).toEqual(503);
  kept.end();
  expect((await post(`${PATH}/greet`, input)).status).toEqual(200);
  expect(budget.bytes).toEqual(0);
});

// Guards against a call that waits for a peer that doesn't exist.
test("a call to a closed port rejects", async () => {
  const client = createTRPCClient<typeof router>({
    links: [
      createPeerLink({ origin: "http://127.0.0.1:1", path: PATH, agent }),
    ],
  });
  expect((await failure(client.count.query())).includes("ECONNREFUSED"))
    .toEqual(true);
});
