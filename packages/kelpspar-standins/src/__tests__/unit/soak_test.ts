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
import { CRASHING_PATH } from "../../wire/runner_stand_in.ts";
import { WireCaller } from "../../wire/wire_caller.ts";
import { WireSite } from "../../wire/wire_site.ts";
import { DaemonProcess } from "../../wire/daemon_process.ts";
import { runSoak } from "../../soak/run_soak.ts";

const ROOT = fileURLToPath(new URL("../../../../../", import.meta.url));
const PROGRAM = `${ROOT}target/start_daemon.cjs`;
const RUN = {
  at: 0,
  target: "/once/x",
  headers: {},
  body: "",
  lastEventId: undefined,
};

// A connection that a proxy left behind must not keep the process.
after(() => {
  setImmediate(() => process.exit());
});

test("a short soak with faults breaks no promise", async () => {
  execFileSync(process.execPath, ["deploy/build.mjs"], { cwd: ROOT });
  const verdict = await runSoak({
    seed: 1,
    seconds: 8,
    daemons: 3,
    program: PROGRAM,
    hasFaults: true,
    print: () => {},
  });
  expect([...verdict.broken]).toEqual([]);
  expect(verdict.served > verdict.asked / 2).toEqual(true);
});

// Guards against a fleet that forgets poison requests when all of it ends.
test("a fleet that was killed whole twice still holds quarantined requests", async () => {
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
  const target = `all${CRASHING_PATH}`;
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
    return site.models.flatMap((one) => one.runs).length;
  };
  try {
    for (const daemon of daemons) daemon.start();
    await setTimeoutPromise(2_000);
    const before = await repeat(3);
    expect(before >= 3).toEqual(true);
    let after = before;
    for (let kills = 0; kills < 2; kills++) {
      for (const daemon of daemons) daemon.signal("SIGKILL");
      await Promise.all(daemons.map((daemon) => daemon.startAgain()));
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

test("a daemon that is to start again doesn't outlive the soak", async () => {
  // Symptom: the soak didn't end after its last seed, and daemons ran on.
  // Sequence: a daemon was told to stop and to start again; the soak ended and
  // killed it; that end was the one that its start waited for.
  // Cause: nothing told the last end from the others.
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
  const again = daemon.startAgain();
  await daemon.end();
  await again;
  const last = daemon.processId;
  if (last !== first) daemon.signal("SIGKILL");
  rmSync(folder, { recursive: true });
  expect(last).toEqual(first);
});

test("a daemon that is told twice to start again is started once", async () => {
  // Symptom: a daemon of the soak ran on that nobody knew of.
  // Sequence: it was told to stop, and killed before it had; both times it was
  // to start again, and both waited for the same end.
  // Cause: each wait started a process, and the first one was forgotten.
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
  const again = [daemon.startAgain(), daemon.startAgain()];
  daemon.signal("SIGKILL");
  await Promise.all(again);
  await waitForStarts(2);
  await setTimeoutPromise(300);
  const processes = readFileSync(starts, "utf8").trim().split("\n").map(Number);
  const known = daemon.processId;
  await daemon.end();
  // One that was forgotten would outlive this test.
  for (const one of processes.slice(1)) {
    if (one !== known) process.kill(one, "SIGKILL");
  }
  rmSync(folder, { recursive: true });
  expect(processes.length).toEqual(2);
});

test("the soak notices each kind of broken promise", () => {
  const answer = { attemptId: "a", route: "once", text: undefined } as const;
  const run = { ...RUN, attemptId: "a" };
  const broken = (
    one: { readonly status: number; readonly text?: string },
    runs: number,
  ): number =>
    checkSoak([{ ...answer, text: one.text, status: one.status }], [
      ...Array.from({ length: runs }, () => run),
    ]).broken.length;
  expect(broken({ status: 200, text: "answer to a" }, 1)).toEqual(0);
  expect(broken({ status: 200, text: "answer to a" }, 2)).toEqual(1);
  expect(broken({ status: 200, text: "answer" }, 1)).toEqual(1);
  expect(broken({ status: 503 }, 0)).toEqual(0);
  expect(broken({ status: 503 }, 1)).toEqual(1);
  expect(checkSoak([], [run]).broken.length).toEqual(1);
  const crashing = (...times: readonly number[]): number =>
    checkSoak(
      [{ ...answer, status: 502, text: "" }],
      times.map((at) => ({
        ...run,
        at,
        target: `/stream/all${CRASHING_PATH}`,
      })),
    ).broken.filter((line) => line.includes("crashes runners")).length;
  expect(crashing(0, 100, 200, 3_300, 3_400, 3_500)).toEqual(0);
  expect(crashing(0, 100, 200, 3_300, 3_400, 3_500, 3_600)).toEqual(1);
});
