import type { KelpsparError } from "kelpspar-shared";
import type { TestContext } from "node:test";
import { test } from "node:test";
import { expect } from "earl";
import { SeededRandom } from "kelpspar-shared";
import { KelpsparClient } from "../../mod.ts";
import {
  accepted,
  breakOff,
  chunk,
  end,
  failure,
  FakeDaemon,
  refuse,
  stream,
  streamAndHang,
} from "./fake_daemon.ts";
import {
  EXCHANGE_TIMEOUT_MILLISECONDS,
  ObservedTimer,
} from "./observed_timer.ts";

const PLAN = { pipeline: "plan", input: "soil", deadlineMilliseconds: 10_000 };
const BOOKING = { ...PLAN, nonIdempotent: true };
const COMPLETE_ANSWER = stream(
  accepted("r"),
  chunk(4, "wide"),
  chunk(0, "two "),
  chunk(2, "o wi"),
  end("r", "two wide"),
);

interface TestSetup {
  readonly timer: ObservedTimer;
  readonly daemons: readonly FakeDaemon[];
  readonly client: KelpsparClient;
}

/** Daemons in the order in which the client tries them, and the client. */
async function createTestSetup(
  context: TestContext,
  options: { readonly daemons?: number } = {},
): Promise<TestSetup> {
  const timer = new ObservedTimer();
  const daemons: FakeDaemon[] = [];
  for (let index = 0; index < (options.daemons ?? 1); index++) {
    const zone = index === 0 ? "own" : "other";
    daemons.push(await new FakeDaemon(`d${index}`, zone).start());
  }
  for (const daemon of daemons) {
    daemon.setListedDaemons(daemons.map(({ address }) => address));
  }
  const client = new KelpsparClient({
    seeds: daemons.map(({ place }) => place),
    callerKey: "key",
    availabilityZone: "own",
    timer,
    random: new SeededRandom(1),
    progressTimeoutMilliseconds: EXCHANGE_TIMEOUT_MILLISECONDS,
    addressTimeoutMilliseconds: EXCHANGE_TIMEOUT_MILLISECONDS,
  });
  context.after(async () => {
    await client.close();
    await Promise.all(daemons.map((daemon) => daemon.stop()));
  });
  return { timer, daemons, client };
}

function daemonAt(daemons: readonly FakeDaemon[], index = 0): FakeDaemon {
  const daemon = daemons[index];
  if (daemon === undefined) throw new Error(`Daemon ${index} does not exist`);
  return daemon;
}

async function errorOf(promise: Promise<unknown>): Promise<KelpsparError> {
  return await promise.then(
    () => Promise.reject(new Error("The promise did not reject")),
    (error: KelpsparError) => error,
  );
}

test("chunks that arrive out of order are delivered in order", async (context) => {
  const { timer, daemons, client } = await createTestSetup(context);
  daemonAt(daemons).on("POST", COMPLETE_ANSWER);
  const answer = client.submit(PLAN);
  const pieces: string[] = [];
  await timer.drive((async () => {
    for await (const piece of answer) pieces.push(piece);
  })());
  expect(pieces).toEqual(["two wide"]);
  expect((await answer.whole()).text).toEqual("two wide");
});

test("an answer that was cut off is resumed at its offset", async (context) => {
  // Guards against returning half an answer. A proxy closes the connection, so
  // the stream ends cleanly but without its end record.
  const { timer, daemons, client } = await createTestSetup(context);
  const daemon = daemonAt(daemons);
  daemon.on("POST", stream(accepted("r"), chunk(0, "two ")));
  daemon.on(
    "GET",
    stream(accepted("r"), chunk(4, "wide"), end("r", "two wide")),
  );
  const answer = await timer.drive(client.submitWhole(PLAN));
  expect(answer.text).toEqual("two wide");
  expect(daemon.received.map(({ path }) => path))
    .toEqual(["/v1/requests", "/v1/requests/r/stream?offset=4"]);
});

test("a silent connection is abandoned and the answer resumed", async (context) => {
  // Guards against waiting until the deadline for an answer that is ready. A
  // device between the two ends loses the connection's state in mid-answer: the
  // connection stays open and silent, while new connections work.
  const { timer, daemons, client } = await createTestSetup(context);
  const daemon = daemonAt(daemons);
  let hang = (): void => {};
  const hangs = new Promise<void>((resolve) => hang = resolve);
  daemon.on("POST", streamAndHang(hang, accepted("r"), chunk(0, "two ")));
  daemon.on(
    "GET",
    stream(accepted("r"), chunk(4, "wide"), end("r", "two wide")),
  );
  const pieces = client.submit(PLAN)[Symbol.asyncIterator]();
  expect((await pieces.next()).value).toEqual("two ");
  const rest = pieces.next();
  await hangs;
  await timer.manual.advance(EXCHANGE_TIMEOUT_MILLISECONDS);
  expect((await timer.drive(rest)).value).toEqual("wide");
});

test("a booking whose answer is lost is looked up, not resubmitted", async (context) => {
  // Guards against running a booking twice. The daemon accepts it and the
  // connection breaks before the answer. The failure: a broken connection is
  // treated as proof that nothing arrived.
  const { timer, daemons, client } = await createTestSetup(context, {
    daemons: 2,
  });
  const daemon = daemonAt(daemons);
  daemon.on("POST", breakOff);
  daemon.on("GET", refuse("in_progress"), breakOff, COMPLETE_ANSWER);
  daemonAt(daemons, 1).on("GET", refuse("request_not_found"));
  const answer = await timer.drive(client.submitWhole(BOOKING));
  expect(answer.text).toEqual("two wide");
  expect([daemon.count("POST"), daemonAt(daemons, 1).count("POST")])
    .toEqual([1, 0]);
  const key = String(daemon.received[0]?.body["idempotencyKey"]);
  expect(/^@d0\/7\.[0-9a-f]{32}$/.test(key)).toEqual(true);
  expect(daemon.received[1]?.path)
    .toEqual(`/v1/requests/by-key/${encodeURIComponent(key)}`);
});

test("a booking that no daemon finds has an unknown outcome", async (context) => {
  // Guards against reporting `not_run` for a booking that ran, after which the
  // caller books again. The answer is lost and no daemon finds the request
  // later. The failure: `request_not_found` is treated as proof that it never
  // ran.
  const { timer, daemons, client } = await createTestSetup(context);
  const daemon = daemonAt(daemons);
  daemon.on("POST", breakOff);
  const error = await timer.drive(errorOf(client.submitWhole(BOOKING)));
  expect([error.result, error.outcome])
    .toEqual(["outcome_unknown", "outcome_unknown"]);
  expect(daemon.count("POST")).toEqual(1);
  expect(daemon.count("GET") > 5).toEqual(true);
  expect(timer.now() > 8_000 && timer.now() <= 10_000).toEqual(true);
});

test("a booking that was not run is submitted to another daemon with a new key", async (context) => {
  const { timer, daemons, client } = await createTestSetup(context, {
    daemons: 3,
  });
  const [first, second, third] = [0, 1, 2].map((index) =>
    daemonAt(daemons, index)
  );
  first?.on("POST", refuse("draining", { elsewhere: [third?.place ?? ""] }));
  third?.on("POST", COMPLETE_ANSWER);
  await timer.drive(client.submitWhole(BOOKING));
  const keys = [first, third].map((daemon) =>
    String(daemon?.received[0]?.body["idempotencyKey"]).split("/")[0]
  );
  expect(keys).toEqual(["@d0", "@d2"]);
  expect(second?.received).toEqual([]);
});

test("a booking that reached a daemon's successor is resubmitted with a new key", async (context) => {
  // Guards against bookings that fail with `outcome_unknown` whenever a VM is
  // replaced. A daemon is replaced under its address, and callers with cached
  // addresses send its successor a key that is bound to the predecessor. The
  // failure: the successor's answer `outcome_unknown` is accepted, although the
  // key was sent to no other daemon.
  const { timer, daemons, client } = await createTestSetup(context, {
    daemons: 2,
  });
  daemonAt(daemons).on("POST", refuse("wrong_daemon"));
  daemonAt(daemons, 1).on("POST", COMPLETE_ANSWER);
  const answer = await timer.drive(client.submitWhole(BOOKING));
  expect(answer.text).toEqual("two wide");
  const own = { ...BOOKING, idempotencyKey: "@d0/7.own" };
  const error = await timer.drive(errorOf(client.submitWhole(own)));
  expect(error.outcome).toEqual("outcome_unknown");
});

test("a refused connection proves that a booking was not run", async (context) => {
  const { timer, daemons, client } = await createTestSetup(context, {
    daemons: 2,
  });
  daemonAt(daemons, 1).on("POST", COMPLETE_ANSWER);
  const stale = [0, 1].map((index) => daemonAt(daemons, index).address);
  await daemonAt(daemons).stop();
  daemonAt(daemons, 1).setListedDaemons(stale);
  const answer = await timer.drive(client.submitWhole(BOOKING));
  expect(answer.text).toEqual("two wide");
});

test("texts of two runs are never mixed", async (context) => {
  // Guards against an answer that joins two different texts. A daemon dies in
  // mid-answer, and the request runs again at another daemon, which generates a
  // different text. The failure: pieces are joined without checking their run.
  for (const isStreamed of [true, false]) {
    const { timer, daemons, client } = await createTestSetup(context, {
      daemons: 2,
    });
    daemonAt(daemons).on("POST", stream(accepted("q"), chunk(0, "one t")));
    daemonAt(daemons, 1).on("POST", COMPLETE_ANSWER);
    const answer = client.submit(PLAN);
    const read = async (): Promise<string> => {
      let text = "";
      for await (const piece of answer) text += piece;
      return text;
    };
    if (isStreamed) {
      expect((await timer.drive(errorOf(read()))).result)
        .toEqual("stream_cut");
    } else {
      const whole = await timer.drive(client.submitWhole(PLAN));
      expect(whole.text).toEqual("two wide");
    }
  }
});

test("a stream of another request is never used", async (context) => {
  // Guards against delivering another caller's answer. A cut answer is resumed,
  // but the daemon streams another request. The failure: the stream is accepted
  // without checking its request id.
  const { timer, daemons, client } = await createTestSetup(context);
  const daemon = daemonAt(daemons);
  daemon.on("POST", stream(accepted("r"), chunk(0, "two ")), COMPLETE_ANSWER);
  daemon.on(
    "GET",
    stream(accepted("q"), chunk(4, "bags"), end("q", "two bags")),
  );
  const answer = await timer.drive(client.submitWhole(PLAN));
  expect([answer.requestId, answer.text]).toEqual(["r", "two wide"]);
});

test("a refusal after a lost run does not report `not_run`", async (context) => {
  const { timer, daemons, client } = await createTestSetup(context, {
    daemons: 2,
  });
  daemonAt(daemons).on("POST", breakOff);
  daemonAt(daemons, 1).on("POST", refuse("not_allowed"));
  const named = { ...PLAN, idempotencyKey: "plan 12" };
  const error = await timer.drive(errorOf(client.submitWhole(named)));
  const flags = daemons.map(({ received }) =>
    received[0]?.body["resubmission"]
  );
  expect(flags).toEqual([undefined, true]);
  expect([error.result, error.outcome])
    .toEqual(["not_allowed", "outcome_unknown"]);
});

test("a retry-after is respected, or fails at once if it exceeds the deadline", async (context) => {
  const { timer, daemons, client } = await createTestSetup(context);
  const busy = { retryAfterMilliseconds: 400 };
  daemonAt(daemons).on("POST", refuse("overloaded", busy), COMPLETE_ANSWER);
  await timer.drive(client.submitWhole(PLAN));
  expect(timer.now() >= 400 && timer.now() < 700).toEqual(true);
  const before = timer.now();
  daemonAt(daemons).script.set("POST", [
    refuse("overloaded", { retryAfterMilliseconds: 60_000 }),
  ]);
  const error = await timer.drive(errorOf(client.submitWhole(PLAN)));
  expect([error.result, error.outcome]).toEqual(["overloaded", "not_run"]);
  expect(timer.now() - before < 100).toEqual(true);
});

test("retries stop when the budget is spent", async (context) => {
  const { timer, daemons, client } = await createTestSetup(context);
  daemonAt(daemons).on("POST", stream(accepted("r"), failure("stage_failed")));
  const errors = [1, 2, 3].map(() => errorOf(client.submitWhole(PLAN)));
  await timer.drive(Promise.all(errors));
  expect(daemonAt(daemons).count("POST")).toEqual(3 + 10);
});

test("leaving the iteration early cancels the request", async (context) => {
  const { timer, daemons, client } = await createTestSetup(context);
  const daemon = daemonAt(daemons);
  daemon.on("POST", streamAndHang(() => {}, accepted("r"), chunk(0, "two ")));
  daemon.on("DELETE", refuse("request_not_found"));
  for await (const piece of client.submit(PLAN)) {
    expect(piece).toEqual("two ");
    break;
  }
  for (let turn = 0; turn < 100 && daemon.count("DELETE") === 0; turn++) {
    await timer.manual.settle();
  }
  expect(daemon.received[1]?.path).toEqual("/v1/requests/r");
});
