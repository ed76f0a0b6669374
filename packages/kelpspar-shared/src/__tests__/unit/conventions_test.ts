import { expect } from "earl";
import { readdirSync, readFileSync } from "node:fs";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const PACKAGES = fileURLToPath(new URL("../../../../", import.meta.url));

/** Which packages of ours each package may import; docs/ARCHITECTURE.md. */
const ALLOWED: Readonly<Record<string, readonly string[]>> = {
  shared: [],
  decisions: ["shared"],
  configuration: ["shared"],
  platform: ["shared"],
  daemon: ["shared", "decisions", "configuration", "platform"],
  client: ["shared"],
  cli: ["shared", "configuration", "platform"],
  standins: [
    "shared",
    "decisions",
    "configuration",
    "platform",
    "daemon",
    "client",
  ],
  scenarios: [
    "shared",
    "decisions",
    "configuration",
    "platform",
    "daemon",
    "standins",
  ],
};

/** Stand-ins, experiments and scenarios are test tooling, not the product. */
const PRODUCT = [
  "shared",
  "decisions",
  "configuration",
  "platform",
  "daemon",
  "client",
  "cli",
];

const CLOCKS =
  /\b(setTimeout|setInterval|Date\.now|performance\.now|Math\.random|hrtime)\b/;
const PROCESSES = /child_process|worker_threads|SharedArrayBuffer|node:cluster/;

interface SourceFile {
  readonly package: string;
  readonly path: string;
  readonly text: string;
}

function readSources(names: readonly string[]): readonly SourceFile[] {
  return names.flatMap((name) => {
    const folder = `${PACKAGES}kelpspar-${name}/src`;
    return readdirSync(folder, { recursive: true, encoding: "utf8" })
      .filter((path) => path.endsWith(".ts") && !path.includes("__tests__"))
      .map((path) => ({
        package: name,
        path: `kelpspar-${name}/src/${path}`,
        text: readFileSync(`${folder}/${path}`, "utf8"),
      }));
  });
}

/** Paths of the product's files whose code, not comments, matches. */
function findProduct(pattern: RegExp): readonly string[] {
  return readSources(PRODUCT).filter(({ text }) =>
    text.split("\n").some((line) =>
      pattern.test(line) && !/^\s*(\*|\/\/|\/\*)/.test(line)
    )
  ).map(({ path }) => path);
}

test("packages import one another one way only", () => {
  const wrong = readSources(Object.keys(ALLOWED)).flatMap((file) =>
    [...file.text.matchAll(/from "kelpspar-([a-z]+)/g)]
      .map((match) => match[1] ?? "")
      .filter((name) => !ALLOWED[file.package]?.includes(name))
      .map((name) => `${file.path} imports ${name}`)
  );
  expect(wrong).toEqual([]);
});

test("the product takes time from the timer service alone", () => {
  expect(findProduct(CLOCKS)).toEqual([
    "kelpspar-shared/src/timer/system_timer.ts",
  ]);
});

test("the product starts no process and shares no memory", () => {
  expect(findProduct(PROCESSES)).toEqual([]);
});
