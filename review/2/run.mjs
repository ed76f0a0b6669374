// Channels to the store that carried nothing for two seconds fall silent; then a
// manifest takes a key away and moves a route. CONFIG is judged as RULES.md says.
import { request as sendRequest } from "node:http";
import { fileURLToPath } from "node:url";
import { RunnerStandIn } from "../../packages/kelpspar-standins/dist/wire/runner_stand_in.js";
import { IdleProxy } from "../common/idle_proxy.mjs";
import {
  createConfiguration,
  HOST,
  KEY,
  runCase,
  Site,
  sleep,
} from "../common/site.mjs";

const DAEMONS = 3;
const TAKEN_KEY = "2ctnfzs989anu6ws9dnn";
const CALM_MILLISECONDS = 15_000;
const IDLE_MILLISECONDS = 2_000;
const CHANGE_AFTER_MILLISECONDS = 500;
const CONTACT_MILLISECONDS = 3_000;
const APPLY_MILLISECONDS = 2_000;
const DEADLINE_MILLISECONDS = 1_500;
const REQUEST_INTERVAL_MILLISECONDS = 100;
const OBSERVED_MILLISECONDS = 16_000;

/** TROUBLE=0 plays the case without the disruption. */
const hasTrouble = process.env.TROUBLE !== "0";
const record = fileURLToPath(new URL("record.txt", import.meta.url));

function createManifest(version, { service, keys }) {
  return {
    ...createConfiguration({
      version,
      routes: [{
        name: "booking",
        kind: "non_idempotent",
        service,
        timeoutMs: 1_500,
        sloMs: 193,
      }],
      services: ["bookings-old", "bookings-new"],
    }),
    tenants: [
      { name: "bozi300", apiKeys: [KEY], priority: 1 },
      { name: "puxa400", apiKeys: keys, priority: 1 },
    ],
  };
}

function send(site, attemptId, { daemon, key }) {
  const entry = { attemptId, daemon: daemon.name, key, sentAt: site.now() };
  return new Promise((resolve) => {
    const end = (status) => resolve({ ...entry, status });
    const [host, port] = daemon.front.split(":");
    const request = sendRequest({
      host,
      port,
      method: "POST",
      path: "/booking/1",
      agent: false,
      headers: {
        Host: HOST,
        "X-Attempt-Id": attemptId,
        "X-Deadline-Ms": String(DEADLINE_MILLISECONDS),
        "X-Api-Key": key,
        "Content-Length": "4",
      },
    });
    request.on("error", () => end("closed"));
    request.on("response", (response) => {
      response.resume();
      response.on("error", () => {});
      response.on(
        "close",
        () => end(response.complete ? response.statusCode : "cut"),
      );
    });
    request.end("book");
  });
}

runCase(async () => {
  const site = new Site(record);
  const runners = ["old", "old", "old", "new", "new", "new"].map(
    (name, index) => {
      const runner = new RunnerStandIn({
        id: `i-${name}-${index}`,
        isStream: false,
        delayMilliseconds: 30,
      });
      runner.service = `bookings-${name}`;
      runner.zone = `zone-${index % 3}`;
      return runner;
    },
  );
  let proxy;
  try {
    await site.start({
      daemons: DAEMONS,
      runners,
      configuration: createManifest(1, {
        service: "bookings-old",
        keys: [TAKEN_KEY],
      }),
      connectStore: async (address) => {
        proxy = new IdleProxy(address);
        return await proxy.start();
      },
    });
    await sleep(CALM_MILLISECONDS);
    const silentAt = site.now();
    if (hasTrouble) {
      const { silent, open } = proxy.silenceIdle(IDLE_MILLISECONDS);
      site.note(`${silent} of ${open} channels to the store fall silent`);
    }
    await sleep(CHANGE_AFTER_MILLISECONDS);
    site.store.put(
      "op",
      "config",
      createManifest(2, { service: "bookings-new", keys: [] }),
    );
    const ackAt = site.now();
    site.note("the store acknowledges manifest 2: one key less, a route moved");
    const answers = [];
    for (let count = 0; site.now() < ackAt + OBSERVED_MILLISECONDS; count++) {
      for (const daemon of site.daemons) {
        for (const key of [KEY, TAKEN_KEY]) {
          const name = key === KEY ? "kept" : "taken";
          answers.push(
            send(site, `a-${count}-${daemon.name}-${name}`, { daemon, key }),
          );
        }
      }
      await sleep(REQUEST_INTERVAL_MILLISECONDS);
    }
    const sent = await Promise.all(answers);
    const ranAt = new Map(
      runners.flatMap(({ service, runs }) =>
        runs.map(({ attemptId }) => [attemptId, service])
      ),
    );
    for (const { attemptId, daemon, key, sentAt, status } of sent) {
      site.note(
        `${attemptId}: sent to ${daemon} at ${
          Math.round(sentAt)
        } ms with key ` +
          `${key}, answered ${status}, run by ${
            ranAt.get(attemptId) ?? "none"
          }`,
      );
    }
    const isBound = ({ sentAt }) =>
      sentAt > ackAt + APPLY_MILLISECONDS &&
      sentAt > silentAt + CONTACT_MILLISECONDS;
    const wrong = sent.filter((entry) => {
      const service = ranAt.get(entry.attemptId);
      if (!isBound(entry) || service === undefined) return false;
      return service === "bookings-old" || entry.key === TAKEN_KEY;
    });
    for (const { attemptId, sentAt, key } of wrong) {
      site.note(
        `CONFIG: ${attemptId}, sent ${
          Math.round(sentAt - ackAt)
        } ms after the ` +
          `ack, run by ${ranAt.get(attemptId)}` +
          (key === TAKEN_KEY ? " with the key that was taken away" : ""),
      );
    }
    const latest = Math.max(0, ...wrong.map(({ sentAt }) => sentAt - ackAt));
    const summary = `${sent.length} requests; ${wrong.length} handled by the ` +
      `old manifest after the bound, the last one sent ` +
      `${Math.round(latest)} ms after the ack`;
    site.note(summary);
    console.log(summary);
    return wrong.length > 0;
  } finally {
    await site.stop(runners);
    proxy?.stop();
  }
});
