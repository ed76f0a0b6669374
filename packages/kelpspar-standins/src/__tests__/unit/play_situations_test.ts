import { expect } from "earl";
import { spawn } from "node:child_process";
import { once } from "node:events";
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

const PROGRAM = fileURLToPath(
  new URL("../../programs/losses_main.ts", import.meta.url),
);
const DAEMONS = 3;
const SIGTERM_EXIT = 143;
const MAXIMUM_END_MILLISECONDS = 2_000;
const POLL_MILLISECONDS = 50;

const folder = mkdtempSync(join(tmpdir(), "kelpspar-play-"));
after(() => rmSync(folder, { recursive: true }));

function isRunning(processId: number): boolean {
  try {
    return process.kill(processId, 0);
  } catch {
    return false;
  }
}

// Guards against daemons that outlive a program that is ended by a signal.
test("a program of situations that is ended by a signal ends its daemons", async () => {
  const daemon = join(folder, "daemon.cjs");
  const log = join(folder, "log");
  writeFileSync(
    daemon,
    "console.log(process.pid); setInterval(() => {}, 1e6);",
  );
  const program = spawn(process.execPath, [
    ...["--conditions=source", "--import", "tsx", PROGRAM],
    ...["--situations", "both-serve", "--daemons", String(DAEMONS)],
    ...["--program", daemon, "--log", log],
  ]);
  const exited = once(program, "exit");
  const readIds = (): readonly number[] =>
    existsSync(log)
      ? readFileSync(log, "utf8").split("\n").filter(Boolean).map(Number)
      : [];
  while (readIds().length < DAEMONS && program.exitCode === null) {
    await setTimeoutPromise(POLL_MILLISECONDS);
  }
  program.kill("SIGTERM");
  expect(await exited).toEqual([SIGTERM_EXIT, null]);
  // The system takes a moment to remove processes that were killed.
  const limit = performance.now() + MAXIMUM_END_MILLISECONDS;
  while (readIds().some(isRunning) && performance.now() < limit) {
    await setTimeoutPromise(POLL_MILLISECONDS);
  }
  expect(readIds().filter(isRunning)).toEqual([]);
  expect(readIds().length).toEqual(DAEMONS);
});
