// Runs test files. A failing test that KNOWN-RED.txt lists is printed and
// passed over; any other failure ends the run with exit code 1. A line of that
// file begins with the name of the test, followed by " | ".
import { existsSync, readFileSync } from "node:fs";
import { resolve } from "node:path";
import process from "node:process";
import { run } from "node:test";
import { spec } from "node:test/reporters";

const LIST = "KNOWN-RED.txt";
const MOST_LISTED = 3;

/** Lines of the list by the name of their test. */
function readListed(): ReadonlyMap<string, string> {
  if (!existsSync(LIST)) return new Map();
  const lines = readFileSync(LIST, "utf8").split("\n").filter(Boolean);
  if (lines.length > MOST_LISTED) {
    throw new Error(
      `"${LIST}" has ${lines.length} lines, ${MOST_LISTED} at most`,
    );
  }
  return new Map(lines.map((line) => [line.split(" | ")[0] ?? line, line]));
}

const listed = readListed();
const red = new Set<string>();
const unlisted = new Set<string>();

run({
  files: process.argv.slice(2).map((file) => resolve(file)),
  concurrency: true,
})
  .on("test:fail", ({ name, details }) => {
    // A group fails with its members; those tell which.
    const { failureType } = details.error as { readonly failureType?: string };
    if (failureType === "subtestsFailed") return;
    if (listed.has(name)) red.add(name);
    else unlisted.add(name);
  })
  .compose(new spec())
  .on("end", () => {
    for (const name of red) {
      process.stdout.write(`known red: ${listed.get(name)}\n`);
    }
    for (const name of listed.keys()) {
      if (!red.has(name)) process.stdout.write(`listed, not red: ${name}\n`);
    }
    for (const name of unlisted) process.stdout.write(`failed: ${name}\n`);
    if (unlisted.size > 0) process.exitCode = 1;
  })
  .pipe(process.stdout);
