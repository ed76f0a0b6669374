// Restarts three daemons in turn, a second apart, while clients open streams of
// six seconds. LOST is judged as RULES.md says for planned work.
import { request as sendRequest } from "node:http";
import { fileURLToPath } from "node:url";
import { RunnerStandIn } from "../../packages/kelpspar-standins/dist/wire/runner_stand_in.js";
import {
  createConfiguration,
  HOST,
  KEY,
  runCase,
  Site,
  sleep,
} from "../common/site.mjs";

const EVENTS = 60;
const EVENT_MILLISECONDS = 100;
const DEADLINE_MILLISECONDS = 15_000;
const GRACE_MILLISECONDS = 8_000;
/** Requests sent later after a SIGTERM have no excuse. */
const EXCUSED_MILLISECONDS = 3_000;
const GAP_MILLISECONDS = 1_000;
const RESTART_DELAY_MILLISECONDS = 500;
const CLIENTS = 6;
const REQUEST_INTERVAL_MILLISECONDS = 200;
const SENDING_MILLISECONDS = 7_000;
const CALM_MILLISECONDS = 3_000;

/** TROUBLE=0 plays the case without the disruption. */
const hasTrouble = process.env.TROUBLE !== "0";
const record = fileURLToPath(new URL("record.txt", import.meta.url));

/** The addresses of the directory, kept for the time that it states. */
class AddressCache {
  #addresses = [];
  #until = 0;

  constructor(site, offset) {
    this.site = site;
    this.offset = offset;
  }

  async get() {
    if (performance.now() < this.#until) return this.#addresses;
    const { daemons } = this.site;
    for (let tries = 0; tries < 3; tries++) {
      const daemon = daemons[(this.offset + tries) % daemons.length];
      try {
        const answer = await fetch(
          `http://${daemon.directory}/-/resolve?name=${HOST}` +
            `&region=prairie-west&zone=zone-${this.offset % 3}`,
          { signal: AbortSignal.timeout(1000) },
        );
        const { addresses, ttlS } = await answer.json();
        if (addresses.length === 0) continue;
        this.#addresses = addresses;
        this.#until = performance.now() + Math.min(5, ttlS) * 1000;
        return addresses;
      } catch {
        // The next daemon is asked.
      }
    }
    return this.#addresses;
  }
}

function openStream(site, attemptId, address) {
  const entry = { attemptId, address, sentAt: site.now(), events: 0 };
  site.note(`client sends ${attemptId} to ${address}`);
  return new Promise((resolve) => {
    const end = (outcome) => {
      if (entry.outcome !== undefined) return;
      entry.outcome = outcome;
      entry.endedAt = site.now();
      site.note(
        `client: ${attemptId} ends: ${outcome}, status ${entry.status}, ` +
          `${entry.events} events`,
      );
      resolve(entry);
    };
    const [host, port] = address.split(":");
    const request = sendRequest({
      host,
      port,
      method: "POST",
      path: "/plan/1",
      agent: false,
      headers: {
        Host: HOST,
        "X-Attempt-Id": attemptId,
        "X-Deadline-Ms": String(DEADLINE_MILLISECONDS),
        "X-Api-Key": KEY,
        "X-Model": "m",
        "X-Token-Count": "100,120",
        "X-Prompt-Prefix": `${attemptId.replace("-", "")}:100`,
        "Content-Length": "4",
      },
    });
    request.on("error", (error) => end(`closed (${error.code})`));
    request.on("response", (response) => {
      entry.status = response.statusCode;
      response.on("data", (chunk) => {
        entry.events += String(chunk).split("\n\n").length - 1;
      });
      response.on("error", () => {});
      response.on("close", () => end(response.complete ? "complete" : "cut"));
    });
    request.end("plan");
  });
}

runCase(async () => {
  const site = new Site(record);
  const runners = [0, 1, 2].map((index) => {
    const runner = new RunnerStandIn({
      id: `i-${index}`,
      isStream: true,
      events: EVENTS,
      delayMilliseconds: EVENT_MILLISECONDS,
    });
    runner.service = "kelpspar-pool";
    runner.zone = `zone-${index}`;
    return runner;
  });
  try {
    await site.start({
      daemons: 3,
      runners,
      configuration: createConfiguration({
        routes: [{ name: "plan", kind: "streaming", service: "kelpspar-pool" }],
        services: ["kelpspar-pool"],
      }),
    });
    await sleep(CALM_MILLISECONDS);
    const terms = new Map();
    const restarts = [];
    const roll = async () => {
      if (!hasTrouble) return;
      for (const daemon of site.daemons) {
        terms.set(daemon.front, site.now());
        site.note(`SIGTERM to ${daemon.name} (${daemon.front})`);
        daemon.signal("SIGTERM");
        restarts.push((async () => {
          const killTimer = setTimeout(
            () => daemon.signal("SIGKILL"),
            GRACE_MILLISECONDS,
          );
          await daemon.exited;
          clearTimeout(killTimer);
          site.note(`${daemon.name} has ended`);
          await sleep(RESTART_DELAY_MILLISECONDS);
          daemon.start();
          site.note(`${daemon.name} starts again`);
        })());
        await sleep(GAP_MILLISECONDS);
      }
    };
    const streams = [];
    const client = async (number) => {
      const cache = new AddressCache(site, number);
      const endsAt = site.now() + SENDING_MILLISECONDS;
      for (let count = 0; site.now() < endsAt; count++) {
        const addresses = await cache.get();
        const address = addresses[count % Math.max(1, addresses.length)];
        if (address !== undefined) {
          streams.push(openStream(site, `a${number}-${count}`, address));
        }
        await sleep(REQUEST_INTERVAL_MILLISECONDS);
      }
    };
    await Promise.all([
      roll(),
      ...Array.from({ length: CLIENTS }, (_, number) => client(number)),
    ]);
    const entries = await Promise.all(streams);
    await Promise.all(restarts);
    const ran = new Map(
      runners.flatMap(({ id, runs }) => runs.map((run) => [run.attemptId, id])),
    );
    for (const [attemptId, id] of ran) site.note(`${id} ran ${attemptId}`);
    const lost = entries.filter((entry) => {
      const { attemptId, address, sentAt, endedAt, outcome } = entry;
      const term = terms.get(address);
      if (outcome === "complete" || !ran.has(attemptId)) return false;
      if (term === undefined || endedAt < term) return false;
      if (endedAt > term + GRACE_MILLISECONDS + 1_000) return false;
      if (endedAt - sentAt >= DEADLINE_MILLISECONDS) return false;
      return sentAt > term + EXCUSED_MILLISECONDS;
    });
    for (const { attemptId, address, sentAt, endedAt, events } of lost) {
      const term = terms.get(address);
      site.note(
        `LOST ${attemptId}: sent ${Math.round(sentAt - term)} ms after the ` +
          `SIGTERM of ${address}, run by ${ran.get(attemptId)}, cut ` +
          `${
            Math.round(endedAt - term)
          } ms after it, ${events} events of ${EVENTS}`,
      );
    }
    const count = (wanted) =>
      entries.filter(({ outcome }) => outcome === wanted).length;
    const summary = `${entries.length} streams, ${count("complete")} whole ` +
      `answers, ${
        count("cut")
      } cut, ${lost.length} lost in the sense of the rule`;
    site.note(summary);
    console.log(summary);
    return lost.length > 0;
  } finally {
    await site.stop(runners);
  }
});
