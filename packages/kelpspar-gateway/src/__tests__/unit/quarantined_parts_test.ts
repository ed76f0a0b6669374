import type { World } from "../support/request_world.ts";
import type { ServingRequest } from "../../requests/serving_request.ts";
import { expect } from "earl";
import { PART_GRACE_MILLISECONDS } from "kelpspar-decisions/quarantine";
import { test } from "node:test";
import {
  createWorld,
  request,
  serve,
  stream,
  wholeAnswer,
} from "../support/request_world.ts";

const CUT = new Error("connection reset");
const EVENT = "id: 1\ndata: a\n\n";
const SOFTWARE = "model ";

function prompted(...ids: readonly string[]): ServingRequest {
  return request({ promptParts: ids.map((id) => ({ id, tokens: 100 })) });
}

/** Reports crashes on a part, as other daemons do. */
async function crashOn(
  world: World,
  part: string,
  count: number,
  from = 0,
): Promise<void> {
  for (let number = from; number < from + count; number++) {
    world.quarantine.reportCrash({
      fingerprint: `other ${number}`,
      crash: `c${number}`,
      ranMilliseconds: 50,
      wroteMilliseconds: 50,
      parts: [part],
      software: SOFTWARE,
    });
    await world.timer.advance(500);
  }
  await world.timer.advance(PART_GRACE_MILLISECONDS);
}

// Guards against running stages for a request whose part crashes endpoints.
test("a request with a quarantined part fails before its stages run", async () => {
  const world = createWorld([]);
  await crashOn(world, "p", 3);
  await serve(world, prompted("shared", "p", "own"));
  expect(world.chainRunCount()).toEqual(0);
  expect(world.reply.refusal?.status).toEqual(502);
  expect(world.reply.refusal?.retryAfterMilliseconds).toEqual(undefined);
  expect(world.logLines.map(({ message }) => message))
    .toInclude("prompt parts quarantined");
});

// Guards against holding requests that share other parts with the cause, or
// have an id as their own part that is shared elsewhere.
test("a request without the quarantined part is served", async () => {
  for (const parts of [["shared", "own"], ["shared", "p"], []]) {
    const world = createWorld([() => stream(EVENT)]);
    await crashOn(world, "p", 3);
    await serve(world, prompted(...parts));
    expect(world.reply.endState).toEqual("ended");
    expect(world.reply.status).toEqual(200);
  }
});

// Guards against a stream that is resumed although its part is suspect.
test("a cut stream isn't resumed once two endpoints crashed on its part", async () => {
  const world = createWorld([() => stream(EVENT, CUT), () => stream(EVENT)], {
    check: () => "refused",
  });
  await crashOn(world, "p", 1);
  await serve(world, prompted("p", "own"));
  expect(world.endpointCalls.length).toEqual(1);
  expect(world.reply.endState).toEqual("broken");
});

// Guards against streams that end beside a crash that isn't their fault.
test("a cut stream is resumed after the first crash on its parts", async () => {
  const world = createWorld([() => stream(EVENT, CUT), () => stream(EVENT)], {
    check: () => "refused",
  });
  await serve(world, prompted("p", "own"));
  expect(world.endpointCalls.length).toEqual(2);
  expect(world.reply.endState).toEqual("ended");
});

// Guards against hedging a request whose part is suspect.
test("a request isn't hedged once two endpoints crashed on its part", async () => {
  const world = createWorld(
    [() => new Promise(() => {}), () => wholeAnswer(200, "b")],
    { route: { kind: "idempotent", stages: [] } },
  );
  await crashOn(world, "p", 2);
  void world.service.serve(prompted("p", "own"), world.reply);
  await world.timer.advance(5_000);
  expect(world.endpointCalls.length).toEqual(1);
});

// Guards against holding a part that endpoints answer on.
test("a whole answer clears its parts of earlier crashes", async () => {
  const world = createWorld([() => stream(EVENT)]);
  await crashOn(world, "p", 2);
  expect(world.quarantine.isSuspect({ fingerprint: "", parts: ["p"] }))
    .toEqual(true);
  await serve(world, prompted("p", "own"));
  expect(world.quarantine.isSuspect({ fingerprint: "", parts: ["p"] }))
    .toEqual(false);
});

// Guards against holding a common part while its answers take seconds.
test("an answer that goes on clears its parts before it ends", async () => {
  const events = Array.from({ length: 9 }, (_, id) => `id: ${id}\ndata: a\n\n`);
  const world = createWorld([() => {
    const answer = stream();
    if (answer.type !== "answered") return answer;
    async function* read(): AsyncGenerator<Buffer> {
      for (const event of events) {
        yield Buffer.from(event);
        await new Promise<void>((resolve) =>
          world.timer.registerTimeout(resolve, 100)
        );
      }
      await new Promise(() => {});
    }
    return { ...answer, body: read() as unknown as typeof answer.body };
  }]);
  await crashOn(world, "p", 2);
  void world.service.serve(prompted("p", "own"), world.reply);
  await world.timer.advance(300);
  expect(world.quarantine.isSuspect({ fingerprint: "", parts: ["p"] }))
    .toEqual(true);
  await world.timer.advance(200);
  expect(world.reply.endState).toEqual("open");
  expect(world.quarantine.isSuspect({ fingerprint: "", parts: ["p"] }))
    .toEqual(false);
});

// Guards against a quarantine that starts before an answer could prevent it.
test("crashes in quick succession quarantine a part after its grace period", async () => {
  const world = createWorld([]);
  for (const number of [1, 2, 3]) {
    world.quarantine.reportCrash({
      fingerprint: `f${number}`,
      crash: `c${number}`,
      ranMilliseconds: 1,
      wroteMilliseconds: 1,
      parts: ["p"],
      software: SOFTWARE,
    });
    await world.timer.advance(200);
  }
  expect(world.quarantine.partsSize).toEqual(0);
  await world.timer.advance(PART_GRACE_MILLISECONDS);
  expect(world.quarantine.partsSize).toEqual(1);
});

// Guards against refusing all requests, and with them the answers that would
// clear the part, because a part of all of them is at several crashes.
test("a part that many sound answers have isn't quarantined", async () => {
  const world = createWorld([() => stream(EVENT)]);
  for (let answers = 0; answers < 10; answers++) {
    world.quarantine.answered({
      parts: ["common"],
      software: SOFTWARE,
      beganAt: world.timer.now(),
    });
  }
  await crashOn(world, "common", 4);
  await serve(world, prompted("common", "own"));
  expect(world.reply.status).toEqual(200);
  expect(world.quarantine.partsSize).toEqual(0);
});

// Guards against sends of a suspect part whose reason no log line gives.
test("a request with a suspect part logs why it is sent", async () => {
  const world = createWorld([() => stream(EVENT), () => stream(EVENT)]);
  await crashOn(world, "p", 2);
  await serve(world, prompted("p", "own"));
  await serve(world, prompted("p", "own"));
  const sent = world.logLines.filter(({ message }) =>
    message === "suspect prompt part sent"
  );
  expect(sent.map(({ fields }) => fields["reason"]))
    .toEqual(["few_crashes", "cleared"]);
  expect(sent.map(({ fields }) => fields["crashesInSuccession"]))
    .toEqual([2, 0]);
});

/** Has a daemon serve many requests with a part. */
function makeCommon(world: World, part: string): void {
  for (let answers = 0; answers < 10; answers++) {
    world.quarantine.answered({
      parts: [part],
      software: SOFTWARE,
      beganAt: world.timer.now(),
    });
  }
}

// Guards against a verdict that depends on what each daemon served before.
test("daemons agree on a common part, whichever of them served it", async () => {
  const server = createWorld([]);
  const newcomer = createWorld([]);
  makeCommon(server, "p");
  for (const crashes of [4, 1]) {
    await crashOn(
      server,
      "p",
      crashes,
      server.quarantine.page().reports.length,
    );
    await newcomer.timer.advance(server.timer.now() - newcomer.timer.now());
    newcomer.quarantine.merge(server.quarantine.page(), "daemon");
    expect(newcomer.quarantine.keys).toEqual(server.quarantine.keys);
  }
  expect([...newcomer.quarantine.keys]).toEqual(["parts p"]);
});

// Guards against a common part that stays held although endpoints answer on it.
test("an answer after its crashes releases a common part at all daemons", async () => {
  const server = createWorld([]);
  const other = createWorld([]);
  makeCommon(server, "p");
  await crashOn(server, "p", 5);
  other.quarantine.merge(server.quarantine.page(), "daemon");
  expect(other.quarantine.partsSize).toEqual(1);
  makeCommon(server, "p");
  other.quarantine.merge(server.quarantine.page(), "daemon");
  expect(other.quarantine.partsSize).toEqual(0);
});

// Guards against refusing what many requests share long after the crashes ended.
test("one request probes a common part a minute after its last crash", async () => {
  const { quarantine, timer } = await createHeldWorld();
  const requests = [1, 2, 3].map((number) => ({
    fingerprint: `f${number}`,
    parts: ["p"],
  }));
  const passed = (): readonly string[] =>
    requests.filter((request) => quarantine.find(request) === undefined)
      .map(({ fingerprint }) => fingerprint);
  expect(passed()).toEqual([]);
  await timer.advance(60_000);
  expect(passed()).toEqual(["f1"]);
  expect(passed()).toEqual(["f1"]);
  quarantine.answered({
    parts: ["p"],
    software: SOFTWARE,
    beganAt: timer.now(),
  });
  expect(passed()).toEqual(["f1", "f2", "f3"]);
});

// Guards against probes that crash one endpoint after another.
test("a probe that crashes its endpoint is followed by none for minutes", async () => {
  const { quarantine, timer } = await createHeldWorld();
  await timer.advance(60_000);
  const probe = { fingerprint: "f1", parts: ["p"] };
  expect(quarantine.find(probe)).toEqual(undefined);
  quarantine.reportCrash({
    ...probe,
    crash: "of the probe",
    ranMilliseconds: 50,
    wroteMilliseconds: 50,
    software: SOFTWARE,
  });
  await timer.advance(600_000);
  const next = { fingerprint: "f2", parts: ["p"] };
  expect(quarantine.find(next)?.type).toEqual("parts");
  await timer.advance(300_000);
  expect(quarantine.find(next)).toEqual(undefined);
});

// Guards against sending a part that was never sound to find out.
test("a part that was never common isn't probed", async () => {
  const world = createWorld([]);
  await crashOn(world, "p", 3);
  await world.timer.advance(1_800_000);
  const request = { fingerprint: "f1", parts: ["p"] };
  expect(world.quarantine.find(request)?.type).toEqual("parts");
});

// Guards against holding what all requests share at daemons that just started.
test("a part of most of a few sound answers is common", async () => {
  const world = createWorld([]);
  const answer = { software: SOFTWARE, beganAt: world.timer.now() };
  for (const parts of [["p"], ["q"], ["p"], ["p"]]) {
    world.quarantine.answered({ ...answer, parts });
  }
  await crashOn(world, "p", 4);
  expect(world.quarantine.partsSize).toEqual(0);
  await crashOn(world, "q", 4, 10);
  expect([...world.quarantine.keys]).toEqual(["parts q"]);
});

/** A world in which a common part is quarantined. */
async function createHeldWorld(): Promise<World> {
  const world = createWorld([]);
  makeCommon(world, "p");
  await crashOn(world, "p", 5);
  return world;
}
