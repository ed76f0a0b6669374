import { expect } from "earl";
import { SeededRandom } from "kelpspar-shared";
import { execFileSync } from "node:child_process";
import {
  existsSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, test } from "node:test";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { checkSoak } from "../../soak/check_soak.ts";
import { buildPartitionHook } from "../../wire/build_program.ts";
import { CRASHING_PATH_SUFFIX } from "../../wire/runner_stand_in.ts";
import { WireCaller } from "../../wire/wire_caller.ts";
import { WireSite } from "../../wire/wire_site.ts";
import { DaemonProcess } from "../../wire/daemon_process.ts";
import { runSoak } from "../../soak/run_soak.ts";
import { SOAK_FAULT_NAMES } from "../../soak/soak_faults.ts";

const ROOT = fileURLToPath(new URL("../../../../../", import.meta.url));
const PROGRAM = `${ROOT}target/start_daemon.cjs`;
const RUN = {
  at: 0,
  target: "/once/x",
  headers: {},
  body: "",
  lastEventId: undefined,
  runnerId: "r",
};

// Connections left open by a proxy must not keep the process alive.
after(() => {
  setImmediate(() => process.exit());
});

test("a short soak with faults violates no guarantee", async () => {
  execFileSync(process.execPath, ["deploy/build.mjs"], { cwd: ROOT });
  const folder = mkdtempSync(join(tmpdir(), "kelpspar-hook-"));
  const verdict = await runSoak({
    seed: 1,
    seconds: 8,
    daemons: 3,
    program: PROGRAM,
    partitionHook: buildPartitionHook(folder),
    faults: SOAK_FAULT_NAMES,
    print: () => {},
  });
  rmSync(folder, { recursive: true });
  expect([...verdict.violations]).toEqual([]);
  expect(verdict.served > verdict.submitted / 2).toEqual(true);
});

// Guards against a check that allows more repeats to requests of many pieces.
test("the soak judges repeats of pieces by requests", () => {
  const sends = [0, 1].flatMap((round) =>
    Array.from({ length: 600 }, (_, piece) => ({
      key: `a${piece % 10}/0/${piece}`,
      at: round * 1_000 + piece,
    }))
  ).slice(0, 660);
  const { violations } = checkSoak([], [], [], [sends]);
  expect([...violations]).toEqual([
    "60 repeats in a window of 52 allowed",
  ]);
});

// Guards against losing the quarantine when all daemons are killed.
test("the quarantine survives when all daemons are killed twice", async () => {
  const site = new WireSite({ modelRunners: 6 });
  await site.start();
  const folder = mkdtempSync(join(tmpdir(), "kelpspar-daemons-"));
  const daemons = await Promise.all(["daemon-1", "daemon-2"].map(
    async (name) =>
      new DaemonProcess({
        name,
        program: PROGRAM,
        settingsPath: join(folder, `${name}.json`),
        settings: await site.createSettings(name),
      }),
  ));
  const target = `all${CRASHING_PATH_SUFFIX}`;
  const repeat = async (seconds: number): Promise<number> => {
    const endsAt = performance.now() + seconds * 1_000;
    await new WireCaller({
      name: `caller-${endsAt}`,
      daemons,
      random: new SeededRandom(1),
      target,
      routes: ["stream"],
      pauseMilliseconds: 100,
    }).run(() => performance.now() >= endsAt);
    return site.models.flatMap((model) => model.runs).length;
  };
  try {
    for (const daemon of daemons) daemon.start();
    await setTimeoutPromise(2_000);
    const before = await repeat(3);
    expect(before >= 3).toEqual(true);
    let after = before;
    for (let kills = 0; kills < 2; kills++) {
      for (const daemon of daemons) daemon.signal("SIGKILL");
      await Promise.all(daemons.map((daemon) => daemon.restartAfterExit()));
      await setTimeoutPromise(2_000);
      after = await repeat(3);
    }
    expect(after - before <= 3).toEqual(true);
  } finally {
    await Promise.all(daemons.map((daemon) => daemon.end()));
    site.stop();
    rmSync(folder, { recursive: true });
  }
});

test("a daemon with a pending restart doesn't outlive the soak", async () => {
  // Guards against a soak that never ends: a daemon is stopped for a restart, and
  // the end of the soak kills it. Unless that exit is recognized as the last one,
  // the pending restart starts a process that nobody ends.
  const folder = mkdtempSync(join(tmpdir(), "kelpspar-daemon-"));
  const program = join(folder, "idle.mjs");
  writeFileSync(program, "setInterval(() => {}, 1000);");
  const daemon = new DaemonProcess({
    name: "idle",
    program,
    settingsPath: join(folder, "settings.json"),
    settings: {},
  });
  daemon.start();
  const first = daemon.processId;
  const again = daemon.restartAfterExit();
  await daemon.end();
  await again;
  const last = daemon.processId;
  if (last !== first) daemon.signal("SIGKILL");
  rmSync(folder, { recursive: true });
  expect(last).toEqual(first);
});

test("two pending restarts of a daemon start one process", async () => {
  // Guards against a stray daemon: it is stopped for a restart and killed for
  // another before it exited. If both restarts wait for the same exit and each
  // starts a process, the reference to the first process is lost.
  const folder = mkdtempSync(join(tmpdir(), "kelpspar-daemon-"));
  const starts = join(folder, "starts");
  const program = join(folder, "idle.mjs");
  writeFileSync(
    program,
    `import { appendFileSync } from "node:fs";
    appendFileSync(${JSON.stringify(starts)}, process.pid + "\\n");
    setInterval(() => {}, 1000);`,
  );
  const daemon = new DaemonProcess({
    name: "idle",
    program,
    settingsPath: join(folder, "settings.json"),
    settings: {},
  });
  const countStarts = (): number =>
    existsSync(starts)
      ? readFileSync(starts, "utf8").split("\n").length - 1
      : 0;
  const waitForStarts = async (count: number): Promise<void> => {
    for (let tries = 0; tries < 200 && countStarts() < count; tries++) {
      await setTimeoutPromise(20);
    }
  };
  daemon.start();
  await waitForStarts(1);
  const again = [daemon.restartAfterExit(), daemon.restartAfterExit()];
  daemon.signal("SIGKILL");
  await Promise.all(again);
  await waitForStarts(2);
  await setTimeoutPromise(300);
  const processes = readFileSync(starts, "utf8").trim().split("\n").map(Number);
  const known = daemon.processId;
  await daemon.end();
  // A stray process would outlive this test.
  for (const processId of processes.slice(1)) {
    if (processId !== known) process.kill(processId, "SIGKILL");
  }
  rmSync(folder, { recursive: true });
  expect(processes.length).toEqual(2);
});

test("the soak check reports each kind of violation", () => {
  const answer = { attemptId: "a", route: "once", text: undefined } as const;
  const run = { ...RUN, attemptId: "a" };
  const violations = (
    response: { readonly status: number; readonly text?: string },
    runs: number,
  ): number =>
    checkSoak([{ ...answer, text: response.text, status: response.status }], [
      ...Array.from({ length: runs }, () => run),
    ]).violations.length;
  expect(violations({ status: 200, text: "answer to a" }, 1)).toEqual(0);
  expect(violations({ status: 200, text: "answer to a" }, 2)).toEqual(1);
  expect(violations({ status: 200, text: "answer" }, 1)).toEqual(1);
  expect(violations({ status: 503 }, 0)).toEqual(0);
  expect(violations({ status: 503 }, 1)).toEqual(1);
  expect(checkSoak([], [run]).violations.length).toEqual(1);
  const streamed = (versions: readonly string[], isWhole = true): number => {
    const events = versions.map((version, index) =>
      `id: ${index + 1}\ndata: a ${index + 1} ${version}\n\n`
    ).join("");
    const text = isWhole ? events : undefined;
    const stream = { ...answer, route: "resumed", status: 200 } as const;
    return checkSoak([{ ...stream, text, events }], [run]).violations.length;
  };
  expect(streamed(["v1", "v1", "v1", "v1", "v1"])).toEqual(0);
  expect(streamed(["v1", "v1", "v1", "v1"])).toEqual(1);
  expect(streamed(["v1", "v1", "v2", "v2", "v2"])).toEqual(1);
  expect(streamed(["v1", "v2"], false)).toEqual(1);
  const crashing = (...times: readonly number[]): number =>
    checkSoak(
      [{ ...answer, status: 502, text: "" }],
      times.map((at) => ({
        ...run,
        at,
        target: `/stream/all${CRASHING_PATH_SUFFIX}`,
      })),
    ).violations.filter((line) => line.includes("crashes runners")).length;
  expect(crashing(0, 100, 200, 3_300, 3_400, 3_500)).toEqual(0);
  expect(crashing(0, 100, 200, 3_300, 3_400, 3_500, 3_600)).toEqual(1);
});
