// What all cases share: a record, a site to start and end, and the exit code.
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { Daemon, now, Store } from "./platform.mjs";

export const EXIT = { held: 0, broken: 1, notRun: 2 };

/** False if the case is played without its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/** A log of what was sent, answered and run, written to the file at `url`. */
export class Record {
  #lines = [];
  #path;

  constructor(url) {
    this.#path = fileURLToPath(url);
    this.add(HAS_TROUBLE ? "with the disruption" : "without the disruption");
  }

  add(text) {
    this.#lines.push(`${String(now()).padStart(6)} ms  ${text}`);
  }

  /** Adds each request that the runners began to run. */
  addRuns(runners) {
    for (const { id, version, runs } of runners) {
      for (const { attemptId, url, at, lastEventId } of runs) {
        const what = attemptId ?? url;
        const after = lastEventId === undefined
          ? ""
          : ` after event ${lastEventId}`;
        this.add(`${id} of version ${version} ran ${what} at ${at}${after}`);
      }
    }
  }

  /** Adds a line that is printed too. */
  tell(text) {
    this.add(text);
    console.log(text);
  }

  write() {
    writeFileSync(this.#path, `${this.#lines.join("\n")}\n`);
  }
}

/** A store, runners and daemons; `end` ends all that was started. */
export class Site {
  store = new Store();
  runners = [];
  daemons = [];

  async addRunner(runner) {
    runner.store = this.store;
    this.runners.push(runner);
    await runner.start();
    return runner;
  }

  /**
   * Creates and starts daemons; false if one isn't ready in time.
   * `storeAddresses` has a view of the store for some of them, by index.
   */
  async startDaemons(count, storeAddresses = new Map()) {
    for (let index = 0; index < count; index++) {
      this.daemons.push(
        await Daemon.create({
          name: `edge-${index + 1}`,
          store: this.store,
          storeAddress: storeAddresses.get(index),
          seeds: this.daemons.slice(0, 3).map(({ listen }) => listen.control),
        }),
      );
    }
    for (const daemon of this.daemons) {
      daemon.start((line) => {
        if (line.includes("start failed")) console.log(line);
      });
    }
    const ready = await Promise.all(
      this.daemons.map((daemon) => daemon.waitUntilReady()),
    );
    return ready.every((isReady) => isReady);
  }

  async end() {
    await Promise.all(this.daemons.map((daemon) => daemon.end()));
    for (const runner of this.runners) runner.stop();
    this.store.stop();
  }
}

/**
 * Plays a case: `play(site, record)` resolves to a value of `EXIT`. Writes the
 * record to the file at `recordUrl` and ends the process.
 */
export async function runCase(recordUrl, play) {
  const record = new Record(recordUrl);
  const site = new Site();
  // Node's own exit code for an error would read as a broken rule.
  for (const event of ["uncaughtException", "unhandledRejection"]) {
    process.once(event, (error) => {
      record.tell(`the case couldn't run: ${error?.stack ?? error}`);
      record.write();
      void site.end().finally(() => process.exit(EXIT.notRun));
    });
  }
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.once(signal, () => {
      void site.end().finally(() => process.exit(EXIT.notRun));
    });
  }
  let outcome = EXIT.notRun;
  try {
    await site.store.start();
    outcome = await play(site, record);
  } catch (error) {
    record.tell(`the case couldn't run: ${error.stack}`);
  }
  await site.end();
  const names = { 0: "held", 1: "broken", 2: "not run" };
  record.tell(`outcome: ${names[outcome]}`);
  record.write();
  process.exit(outcome);
}
