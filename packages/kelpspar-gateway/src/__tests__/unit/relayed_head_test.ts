import type { AddressInfo } from "node:net";
import type { RequestReply } from "../../requests/request_reply.ts";
import type { EndpointAnswer } from "../../requests/endpoint_call.ts";
import type { World } from "../support/request_world.ts";
import { expect } from "earl";
import { CallerBudget, readBody } from "kelpspar-http";
import { ManualTimer, SystemTimer } from "kelpspar-shared";
import { once } from "node:events";
import { createServer } from "node:http";
import { Readable } from "node:stream";
import { test } from "node:test";
import { OpenExchanges } from "../../front/open_exchanges.ts";
import { relayRequest } from "../../relay/relay_client.ts";
import { createRelayListener } from "../../relay/relay_listener.ts";
import { createWorld, request } from "../support/request_world.ts";

const EVENT = "id: 2\ndata: b\n\n";
const HEAD_MILLISECONDS = 2_000;

/** Serves a stream that has begun without an event. */
async function serveSilent(
  { isRelayed, lastEventId }: {
    readonly isRelayed: boolean;
    readonly lastEventId?: string;
  },
): Promise<World> {
  const body = new Readable({ read: () => {} });
  const answer: EndpointAnswer = {
    type: "answered",
    status: 200,
    headers: [],
    framing: "chunked",
    body,
    close: () => void body.destroy(),
  };
  const world = createWorld([() => answer], { route: { stages: [] } });
  const served = request({ pieceCounts: [], lastEventId });
  void (isRelayed
    ? world.service.serveRelayed({
      configurationVersion: 1,
      attemptsLeft: 1,
      request: served,
    }, world.reply)
    : world.service.serve(served, world.reply));
  await world.timer.settle();
  return world;
}

// Guards against two endpoints that work on a stream until its next event comes.
test("a resumed stream begins at the relaying daemon before its first event", async () => {
  const world = await serveSilent({ isRelayed: true, lastEventId: "1" });
  expect([world.reply.status, world.reply.endState]).toEqual([200, "open"]);
});

// Guards against answers that have begun and can't be refused any more.
test("other streams begin with their first event", async () => {
  for (
    const options of [
      { isRelayed: true },
      { isRelayed: false },
      { isRelayed: false, lastEventId: "1" },
    ]
  ) {
    const { reply } = await serveSilent(options);
    expect(reply.status).toEqual(undefined);
  }
});

/**
 * Relays a request to a daemon that begins an answer; `goOn` is called once the
 * head has arrived.
 */
async function relayOver(
  goOn: (reply: RequestReply) => void,
): Promise<string> {
  const timer = new SystemTimer();
  let serving: RequestReply | undefined;
  const server = createServer(createRelayListener({
    budget: new CallerBudget({ timer }),
    serve: (_, reply) => {
      serving = reply;
      reply.begin(200, []);
      return Promise.resolve();
    },
    isAble: () => true,
    exchanges: new OpenExchanges(),
    otherwise: (_message, response) => response.end(),
  }));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  try {
    const result = await relayRequest({
      peer: `127.0.0.1:${port}`,
      message: {
        configurationVersion: 1,
        attemptsLeft: 1,
        request: request(),
      },
      timer: new ManualTimer(),
      malformedAnswers: { publish: () => {} },
      signal: AbortSignal.timeout(HEAD_MILLISECONDS),
    });
    if (result.type !== "answered" || serving === undefined) return result.type;
    goOn(serving);
    const body = await readBody(result.answer.body).catch(() => undefined);
    return body === undefined ? "cut" : body.toString();
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

// Guards against heads that are kept back until the first event.
test("the head of a relayed answer leaves before its body", async () => {
  const text = await relayOver((reply) => {
    void reply.write(Buffer.from(EVENT));
    reply.end();
  });
  expect(text).toEqual(EVENT);
});

// Guards against a refusal that completes an answer, or is lost.
test("a relayed answer that has begun and fails is cut", async () => {
  const ends: readonly ((reply: RequestReply) => void)[] = [
    (reply) => reply.refuse({ status: 502, message: "no" }),
    (reply) => reply.answer(500, [], Buffer.from("no")),
  ];
  for (const end of ends) expect(await relayOver(end)).toEqual("cut");
});
