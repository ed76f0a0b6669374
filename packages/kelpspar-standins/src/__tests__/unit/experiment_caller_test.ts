import type { CallResult } from "../../experiments/caller/call_result.ts";
import type { CallerPolicy } from "../../experiments/caller/caller_policy.ts";
import type { PlannedRequest } from "../../experiments/load/planned_request.ts";
import type { FailureRecord, SubmitRequest } from "kelpspar-shared";
import type { ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "earl";
import {
  extendChecksum,
  formatChecksum,
  ManualTimer,
  SeededRandom,
} from "kelpspar-shared";
import { createServer } from "node:http";
import { test } from "node:test";
import { DaemonAddressCache } from "../../experiments/caller/daemon_address_cache.ts";
import { Caller } from "../../experiments/caller/caller.ts";
import { DaemonPools } from "../../experiments/caller/daemon_pools.ts";
import { readJsonBody } from "../../http/read_json_body.ts";

const TEXT = "booking(1) token=large.1";

const REQUEST: PlannedRequest = {
  at: 0,
  isMeasured: true,
  token: "large.1",
  account: "large",
  availabilityZone: "a",
  pipeline: "booking",
  input: "token=large.1",
  deadlineMilliseconds: 3_000,
  expectedText: TEXT,
  hasOnceStage: true,
};

type Answer = (response: ServerResponse, port: number) => void;

const ANSWERS = {
  whole: (response: ServerResponse): void => {
    const checksum = formatChecksum(extendChecksum(0, TEXT));
    const records = [
      { type: "accepted", requestId: "r", daemon: "d" },
      { type: "chunk", offset: 0, text: TEXT },
      { type: "end", length: TEXT.length, checksum, cost: [] },
    ];
    response.end(
      records.map((record) => `${JSON.stringify(record)}\n`).join(""),
    );
  },
  cut: (response: ServerResponse): void => {
    response.write(`{"type":"accepted","requestId":"r","daemon":"d"}\n`, () => {
      response.socket?.destroy();
    });
  },
  draining: (response: ServerResponse, other: number): void => {
    const failure: FailureRecord = {
      type: "failure",
      code: 2003,
      result: "draining",
      outcome: "not_run",
      retry: "elsewhere",
      message: "",
      elsewhere: [`127.0.0.1:${other}`],
    };
    response.writeHead(503).end(JSON.stringify(failure));
  },
} as const;

/** Calls two daemons that share a sequence of answers. */
async function callTwoDaemons(
  answers: readonly Answer[],
  policy: CallerPolicy,
): Promise<{
  readonly result: CallResult;
  readonly bodies: readonly SubmitRequest[];
}> {
  const bodies: SubmitRequest[] = [];
  const left = [...answers];
  const ports: number[] = [];
  const servers = [0, 1].map((index) =>
    createServer((request, response) => {
      void readJsonBody(request).then((body) => {
        bodies.push(body as SubmitRequest);
        left.shift()?.(response, ports[1 - index] ?? 0);
      });
    })
  );
  for (const server of servers) {
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    ports.push((server.address() as AddressInfo).port);
  }
  const pools = new DaemonPools();
  const timer = new ManualTimer();
  const addressCache = new DaemonAddressCache({
    availabilityZone: "a",
    ports,
    callerKey: "key",
    pools,
    timer,
    random: new SeededRandom(1),
    keepMilliseconds: 1_000,
  });
  const addressCaches = new Map([["a", addressCache]]);
  try {
    const caller = new Caller({ addressCaches, pools, policy, timer });
    return { result: await caller.call(REQUEST, 0), bodies };
  } finally {
    await pools.close();
    for (const server of servers) server.close();
  }
}

test("a caller with resubmitsCut resubmits a broken answer under its key", async () => {
  // A caller's answer breaks off because a daemon died, and the caller sends the
  // request again. Without the same key and the `resubmission` flag, the second
  // daemon cannot distinguish it from a new request and makes the booking twice.
  const { result, bodies } = await callTwoDaemons(
    [ANSWERS.cut, ANSWERS.whole],
    { resubmitsCut: true },
  );
  expect(result.end.type).toEqual("whole");
  expect(result.submissions).toEqual(2);
  expect(result.cutAt.length).toEqual(1);
  const names = bodies.map((body) => [body.idempotencyKey, body.resubmission]);
  expect(names as unknown[]).toEqual([
    ["large.1", undefined],
    ["large.1", true],
  ]);
});

test("a broken answer is final for a caller without resubmitsCut", async () => {
  const { result } = await callTwoDaemons([ANSWERS.cut, ANSWERS.whole], {});
  expect(result.end.type).toEqual("cut");
  expect(result.submissions).toEqual(1);
});

test("only a caller with followsElsewhere retries a refusal elsewhere", async () => {
  const answers = [ANSWERS.draining, ANSWERS.whole];
  const followed = await callTwoDaemons(answers, { followsElsewhere: true });
  expect(followed.result.end.type).toEqual("whole");
  expect(followed.bodies[1]?.resubmission).toEqual(undefined);
  const left = await callTwoDaemons(answers, {});
  expect(left.result.end.type).toEqual("failure");
});
