import type { Guard } from "./guard.ts";
import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import { GUARDS } from "./guards.ts";
import { ISOLATION_GUARDS } from "./isolation_guards.ts";
import { NOTICE_GUARDS } from "./notice_guards.ts";
import { QUARANTINE_GUARDS } from "./quarantine_guards.ts";
import { SourceCopy } from "./source_copy.ts";
import { STREAM_GUARDS } from "./stream_guards.ts";

const ROOT = fileURLToPath(new URL("../../../../", import.meta.url));
const NAME_WIDTH = 62;
const EXIT_USAGE = 64;
const USAGE = "Usage: npm run guards [-- TEST_FILE], a test of a guard";
/** A test that exceeds this without its guard counts as failed. */
const TEST_TIMEOUT_MILLISECONDS = 60_000;

/** The guards that a test file checks; all if none is given. */
function chooseGuards(testFile: string | undefined): readonly Guard[] {
  const all = [
    ...GUARDS,
    ...QUARANTINE_GUARDS,
    ...NOTICE_GUARDS,
    ...ISOLATION_GUARDS,
    ...STREAM_GUARDS,
  ];
  if (testFile === undefined) return all;
  return all.filter(({ noticedBy }) => noticedBy.endsWith(testFile));
}

/** Disables each guard in turn and prints whether its test fails. */
function main(): void {
  const guards = chooseGuards(process.argv[2]);
  if (guards.length === 0) {
    process.stdout.write(`${USAGE}\n`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  const copy = new SourceCopy(ROOT);
  for (const file of new Set(guards.map(({ noticedBy }) => noticedBy))) {
    // A test that already fails with all guards would appear to detect each one.
    if (!passes(file, copy)) throw new Error(`"${file}" fails with all guards`);
  }
  let missed = 0;
  for (const guard of guards) {
    const isNoticed = isNoticedWithout(guard, copy);
    if (!isNoticed) missed++;
    const verdict = isNoticed ? "noticed" : "NOT NOTICED";
    process.stdout.write(`${guard.name.padEnd(NAME_WIDTH)}${verdict}\n`);
  }
  copy.remove();
  const noticed = guards.length - missed;
  process.stdout.write(`${noticed} of ${guards.length} guards were noticed\n`);
  if (missed > 0) process.exitCode = 1;
}

function isNoticedWithout(guard: Guard, copy: SourceCopy): boolean {
  return copy.runWithout(guard, () => !passes(guard.noticedBy, copy));
}

function passes(file: string, copy: SourceCopy): boolean {
  const { status } = spawnSync(
    process.execPath,
    ["--conditions=source", "--import", "tsx", "--test", file],
    { cwd: copy.folder, stdio: "ignore", timeout: TEST_TIMEOUT_MILLISECONDS },
  );
  return status === 0;
}

main();
