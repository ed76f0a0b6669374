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
  backends: ["shared"],
  peers: [],
  gateway: ["shared", "decisions", "peers"],
  daemon: ["shared", "decisions", "configuration", "backends", "peers"],
  client: ["shared"],
  cli: ["shared", "configuration", "backends"],
  standins: [
    "shared",
    "decisions",
    "configuration",
    "backends",
    "daemon",
    "client",
  ],
  scenarios: [
    "shared",
    "decisions",
    "configuration",
    "backends",
    "daemon",
    "standins",
  ],
};

/** Stand-ins, experiments and scenarios are test tooling, not the product. */
const PRODUCT = [
  "shared",
  "decisions",
  "configuration",
  "backends",
  "peers",
  "gateway",
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

/**
 * Names of the users' platform that may stand in `platform/`, `deploy/` and
 * the stand-in of the platform alone.
 */
const PLATFORM_HEADERS = new RegExp(
  [
    "x-(attempt-id|deadline-ms|expect-instance|tenant|urgency|server-seal)",
    "x-(not-executed|api-key|piece-key|pieces|inputs|prompt-prefix)",
    "kv-(fetch|from|move|handle|pin|events|list)",
    "(stage-run|stage-free|rows-tx|rows-get|rows-feed|rows-parts|blob-put)",
  ].join("|"),
  "i",
);
const PLATFORM_FIELDS = new RegExp(
  "\\b(headroomMb|handleS|callMs|itemMs|coldLeftMs|sloMs|targetGapMs|" +
    "trafficSplit|apiKeys|KELPSPAR_BOOT|morePages|tombstone|heartbeatMs)\\b",
);

/** The stand-in of the platform speaks its names. */
const STAND_IN = "kelpspar-standins/src/wire/";

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

test("the platform's names stand in its folder alone", () => {
  const wrong = readSources(Object.keys(ALLOWED))
    .filter(({ path, text }) =>
      !path.startsWith(STAND_IN) &&
      (PLATFORM_HEADERS.test(text) || PLATFORM_FIELDS.test(text))
    ).map(({ path }) => path);
  expect(wrong).toEqual([]);
});

test("the platform's folder takes time from the timer service alone", () => {
  const folder = fileURLToPath(
    new URL("../platform/src", `file://${PACKAGES}`),
  );
  const wrong = readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((path) => path.endsWith(".ts") && !path.includes("__tests__"))
    .filter((path) => {
      const text = readFileSync(`${folder}/${path}`, "utf8");
      return CLOCKS.test(text) || PROCESSES.test(text);
    });
  expect(wrong).toEqual([]);
});
