import { expect } from "earl";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const PARENT = fileURLToPath(
  new URL("../support/process_with_child.ts", import.meta.url),
);
const EXIT_CODES = { SIGINT: 130, SIGTERM: 143 } as const;
const POLL_MILLISECONDS = 20;
const LIMIT_MILLISECONDS = 5_000;

for (const signal of ["SIGINT", "SIGTERM"] as const) {
  // Guards against daemons that go on after the program that started them.
  test(`a program that is ended by ${signal} ends what it started`, async () => {
    const parent = spawn(process.execPath, [
      "--conditions=source",
      "--import",
      "tsx",
      PARENT,
    ], { stdio: ["ignore", "pipe", "inherit"] });
    const exited = once(parent, "exit");
    const [line] = await once(
      createInterface({ input: parent.stdout }),
      "line",
    ) as [string];
    const childId = Number(line);
    expect(isRunning(childId)).toEqual(true);
    parent.kill(signal);
    expect(await exited).toEqual([EXIT_CODES[signal], null]);
    const limit = performance.now() + LIMIT_MILLISECONDS;
    while (isRunning(childId) && performance.now() < limit) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MILLISECONDS));
    }
    expect(isRunning(childId)).toEqual(false);
  });
}

function isRunning(processId: number): boolean {
  try {
    return process.kill(processId, 0);
  } catch {
    return false;
  }
}
