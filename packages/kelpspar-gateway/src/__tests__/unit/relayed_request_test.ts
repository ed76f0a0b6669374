import type { ServiceRoute } from "../../configuration/service_route.ts";
import type { RelayAnswer } from "../../relay/relay_answer.ts";
import type { RelayMessage } from "../../relay/relay_message.ts";
import type { RefusedProgress } from "../../requests/request_reply.ts";
import type { ScriptedAnswer, World } from "../support/request_world.ts";
import { expect } from "earl";
import { test } from "node:test";
import {
  decodeRelayMessage,
  encodeRelayMessage,
} from "../../relay/relay_message.ts";
import {
  createWorld,
  request,
  serve,
  stream,
  wholeAnswer,
} from "../support/request_world.ts";

const PEERS = ["d2", "d3", "d4", "d5"];
const ONCE = {
  kind: "non_idempotent",
  isResumable: false,
  stages: [],
} as const;
const OFTEN = { kind: "idempotent", isResumable: false, stages: [] } as const;

function answered(answer: ReturnType<typeof wholeAnswer>): RelayAnswer {
  if (answer.type !== "answered") throw new Error("Not an answer");
  return { type: "answered", answer };
}

function refused(
  isUnable: boolean,
  progress: RefusedProgress = {},
): RelayAnswer {
  const refusal = { status: 503, retryAfterMilliseconds: 250, message: "no" };
  return { type: "refused", refusal: { ...refusal, isUnable, ...progress } };
}

/** Serves a request at an isolated daemon whose peers answer by a script. */
async function relayTo(
  script: readonly RelayAnswer[],
  route: Partial<ServiceRoute>,
  slack = 50,
): Promise<World & { readonly messages: readonly RelayMessage[] }> {
  const messages: RelayMessage[] = [];
  const world = createWorld([], {
    route,
    slack,
    relay: {
      isNeeded: true,
      verified: () => Promise.resolve(true),
      choosePeer: (tried) => {
        const daemonId = PEERS.find((id) => !tried.has(id));
        if (daemonId === undefined) return undefined;
        return { daemonId, front: "", peer: daemonId, zone: "a", cores: 1 };
      },
      send: ({ message }) => {
        messages.push(message);
        const answer = script[messages.length - 1];
        if (answer === undefined) throw new Error("No scripted answer is left");
        return Promise.resolve(answer);
      },
    },
  });
  await serve(world);
  return { ...world, messages };
}

test("an isolated daemon returns the answer that another one relays", async () => {
  const { reply, endpointCalls } = await relayTo(
    [answered(wholeAnswer(200, "done"))],
    ONCE,
  );
  expect([reply.status, reply.text]).toEqual([200, "done"]);
  expect(endpointCalls.length).toEqual(0);
});

// Guards against a request that runs twice because its relay was cut.
test("a request that runs at most once isn't relayed again after a cut", async () => {
  const { reply, messages } = await relayTo(
    [{ type: "unknown", reason: "reset" }],
    ONCE,
  );
  expect(messages.length).toEqual(1);
  expect(reply.refusal?.status).toEqual(502);
});

// Guards against a refusal while other daemons reach endpoints.
test("a request goes to the next daemon if one is unable or not reached", async () => {
  const { reply, messages } = await relayTo([
    refused(true),
    { type: "unreachable", reason: "no connection in time" },
    answered(wholeAnswer(200, "done")),
  ], ONCE);
  expect(messages.length).toEqual(3);
  expect(reply.status).toEqual(200);
});

// Guards against asking the same coordinator again through other daemons.
test("a refusal of an able daemon goes to the caller with its wait", async () => {
  const { reply, messages } = await relayTo([refused(false)], ONCE);
  expect(messages.length).toEqual(1);
  expect(reply.refusal).toEqual({
    status: 503,
    retryAfterMilliseconds: 250,
    message: "no",
  });
});

// Guards against more runs than the route allows, counted over daemons.
test("a repeatable request is relayed with the attempts that are left", async () => {
  const { reply, messages } = await relayTo([
    { type: "unknown", reason: "reset" },
    { type: "unknown", reason: "reset" },
  ], OFTEN);
  expect(messages.map(({ attemptsLeft }) => attemptsLeft)).toEqual([1, 1]);
  expect(reply.refusal?.status).toEqual(502);
});

// Guards against attempts that are lost although no endpoint ran the request.
test("a daemon that didn't run a request costs it no attempts", async () => {
  const { messages } = await relayTo([
    refused(true),
    { type: "unreachable", reason: "no connection in time" },
    answered(wholeAnswer(200, "done")),
  ], { ...OFTEN, attempts: 4 });
  expect(messages.map(({ attemptsLeft }) => attemptsLeft)).toEqual([2, 2, 2]);
});

// Guards against events that come twice or are missing after a relay is cut.
test("a resumable stream goes on at another daemon after its last event", async () => {
  const cut = new Error("connection reset");
  const { reply, messages } = await relayTo([
    answered(stream("id: 1\ndata: a\n\n", "id: 2\nda", cut)),
    answered(stream("id: 2\ndata: b\n\n")),
  ], {});
  expect(messages.map((message) => message.request.lastEventId)).toEqual([
    undefined,
    "1",
  ]);
  expect(reply.text).toEqual("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  expect(reply.endState).toEqual("ended");
});

// Guards against pieces that count as sent for the first time at each daemon.
test("a request tells the next daemon that another one has begun its stages", async () => {
  const { messages } = await relayTo([
    refused(true),
    refused(true, { stagesMilliseconds: 120 }),
    answered(wholeAnswer(200, "done")),
  ], {});
  const earlier = messages.map((message) => message.earlierStagesMilliseconds);
  expect(earlier).toEqual([undefined, undefined, 120]);
});

// Guards against the same when the answer of the first daemon was lost.
test("stages may have begun at a daemon whose relayed answer is cut", async () => {
  const { messages } = await relayTo([
    { type: "unknown", reason: "reset" },
    { type: "unknown", reason: "reset" },
  ], {});
  expect(messages.map((message) => message.earlierStagesMilliseconds))
    .toEqual([undefined, 0]);
});

// Guards against a refusal that hides how far the request got.
test("a daemon that refuses a relayed request tells that it began the stages", async () => {
  const world = createWorld([], {
    chain: { type: "refused", reason: "failing", retryAfterMilliseconds: 400 },
  });
  await serve(world);
  expect(world.reply.refusalProgress?.stagesMilliseconds).toEqual(0);
});

// Guards against sends that count as the first one at each daemon.
test("a request that endpoints of another daemon rejected spends a retry", async () => {
  for (const isDelivered of [true, false]) {
    const { reply, messages } = await relayTo(
      [refused(true, { isDelivered }), answered(wholeAnswer(200, "done"))],
      OFTEN,
      0,
    );
    expect(messages.length).toEqual(isDelivered ? 1 : 2);
    expect(reply.status).toEqual(isDelivered ? 503 : 200);
  }
});

// Guards against a refusal that hides that endpoints got the request.
test("a daemon that refuses a relayed request tells that it sent it", async () => {
  const full: ScriptedAnswer = () => ({ type: "not_run", refusal: "full" });
  const sent = createWorld([full], { route: OFTEN, slack: 0 });
  await serve(sent);
  expect(sent.reply.refusalProgress?.isDelivered).toEqual(true);
  const unsent = createWorld([], {
    chain: { type: "refused", reason: "failing", retryAfterMilliseconds: 400 },
  });
  await serve(unsent);
  expect(unsent.reply.refusalProgress?.isDelivered).toEqual(false);
});

// Guards against requests that travel from one isolated daemon to the next.
test("an isolated daemon refuses requests that are relayed to it", async () => {
  let choices = 0;
  const world = createWorld([], {
    relay: {
      isNeeded: true,
      verified: () => Promise.resolve(true),
      choosePeer: () => {
        choices++;
        return undefined;
      },
      send: () => Promise.resolve({ type: "unknown", reason: "not expected" }),
    },
  });
  const message = { configurationVersion: 1, attemptsLeft: 1 };
  await world.service.serveRelayed(
    { ...message, request: request() },
    world.reply,
  );
  expect(world.reply.refusal?.status).toEqual(503);
  expect(choices).toEqual(0);
  expect(world.chainRunCount()).toEqual(0);
});

test("a relayed request arrives as it was sent", () => {
  const sent = {
    configurationVersion: 7,
    attemptsLeft: 2,
    request: request({
      headers: ["X-Model", "m"],
      lastEventId: "4",
      body: Buffer.from([0, 255, 10]),
    }),
  };
  expect(decodeRelayMessage(encodeRelayMessage(sent))).toEqual(sent);
});

// Guards against daemons that overrun brittle endpoints: there are more daemons
// than places, and this one has none.
test("a daemon without a place at brittle endpoints relays to one that has", async () => {
  const senders = Array.from({ length: 200 }, (_, index) => `d${index + 1}`);
  let among: ReadonlySet<string> | undefined;
  const world = createWorld([], {
    route: ONCE,
    senders,
    relay: {
      isNeeded: false,
      verified: () => Promise.resolve(false),
      choosePeer: (_, holders) => {
        among = holders;
        const [daemonId = ""] = holders ?? [];
        return { daemonId, front: "", peer: daemonId, zone: "a", cores: 1 };
      },
      send: () => Promise.resolve(answered(wholeAnswer(200, "answer"))),
    },
  });
  await serve(world);
  expect(world.reply.text).toEqual("answer");
  expect(world.endpointCalls.length).toEqual(0);
  expect(among?.has("d1")).toEqual(false);
  // The places of three endpoints with four slots each.
  expect((among?.size ?? 0) <= 12).toEqual(true);
});

test("a daemon without a place serves when it reaches none that has one", async () => {
  const senders = Array.from({ length: 200 }, (_, index) => `d${index + 1}`);
  const world = createWorld([() => wholeAnswer(200, "answer")], {
    route: ONCE,
    senders,
  });
  await serve(world);
  expect(world.reply.text).toEqual("answer");
  expect(world.endpointCalls.length).toEqual(1);
});
