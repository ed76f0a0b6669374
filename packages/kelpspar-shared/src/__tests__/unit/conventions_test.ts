import { expect } from "earl";
import { readdirSync, readFileSync } from "node:fs";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const PACKAGES = fileURLToPath(new URL("../../../../", import.meta.url));

/** The kelpspar packages that each package may import; docs/ARCHITECTURE.md. */
const ALLOWED_IMPORTS: Readonly<Record<string, readonly string[]>> = {
  shared: [],
  decisions: ["shared"],
  configuration: ["shared"],
  http: [],
  backends: ["shared", "http"],
  peers: ["http"],
  gateway: ["shared", "decisions", "http", "peers"],
  daemon: ["shared", "decisions", "configuration", "backends", "peers"],
  client: ["shared", "http"],
  cli: ["shared", "configuration", "backends", "http"],
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

/**
 * Packages of the product; stand-ins, experiments and scenarios are test
 * tooling.
 */
const PRODUCT_PACKAGES = [
  "shared",
  "decisions",
  "configuration",
  "http",
  "backends",
  "peers",
  "gateway",
  "daemon",
  "client",
  "cli",
];

const CLOCK_ACCESS =
  /\b(setTimeout|setInterval|Date\.now|performance\.now|Math\.random|hrtime)\b/;
/** Connections that no `ProgressGuard` watches. */
const UNGUARDED_CLIENTS =
  /\bnew (Agent|Pool|Client)\(|\b(request|get)\b.* from "node:https?"/;
/** Calls of the gateway's ports to endpoints. */
const ENDPOINT_SENDS = /\bendpoints\.send\(|\.runPieces\(/;
/** Bodies that are read whole other than by `readBody`. */
const UNLIMITED_BODIES = /\bbody\.(json|text|arrayBuffer|blob|bytes|dump)\(/;
const PROCESS_ACCESS =
  /child_process|worker_threads|SharedArrayBuffer|node:cluster/;

interface SourceFile {
  readonly package: string;
  readonly path: string;
  readonly text: string;
}

/**
 * Names of the users' platform, which only `platform/`, `deploy/` and the
 * platform's stand-in may contain.
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

/**
 * The platform's stand-in implements its protocol and so contains its names.
 */
const PLATFORM_STAND_IN_FOLDER = "kelpspar-standins/src/wire/";

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

/** Paths of the product's files with a match outside comments. */
function findProductFiles(pattern: RegExp): readonly string[] {
  return readSources(PRODUCT_PACKAGES).filter(({ text }) =>
    text.split("\n").some((line) =>
      pattern.test(line) && !/^\s*(\*|\/\/|\/\*)/.test(line)
    )
  ).map(({ path }) => path);
}

test("packages import only the packages that they are allowed to", () => {
  const wrong = readSources(Object.keys(ALLOWED_IMPORTS)).flatMap((file) =>
    [...file.text.matchAll(/from "kelpspar-([a-z]+)/g)]
      .map((match) => match[1] ?? "")
      .filter((name) => !ALLOWED_IMPORTS[file.package]?.includes(name))
      .map((name) => `${file.path} imports ${name}`)
  );
  expect(wrong).toEqual([]);
});

test("the product uses clocks and timers only through the timer service", () => {
  expect(findProductFiles(CLOCK_ACCESS)).toEqual([
    "kelpspar-shared/src/timer/system_timer.ts",
  ]);
});

// Guards against a client that reads bytes without end.
test("HTTP connections are opened only where their progress is guarded", () => {
  expect(findProductFiles(UNGUARDED_CLIENTS)).toEqual([
    "kelpspar-http/src/create_guarded_agent.ts",
    "kelpspar-http/src/create_guarded_pool.ts",
    "kelpspar-gateway/src/exchange/http_exchange.ts",
  ]);
});

// Guards against a body without end that fills a process's memory.
test("answers are read whole only where their size is limited", () => {
  expect(findProductFiles(UNLIMITED_BODIES)).toEqual([]);
});

test("the product starts no process and shares no memory", () => {
  expect(findProductFiles(PROCESS_ACCESS)).toEqual([]);
});

test("only the platform's folder and stand-in contain the platform's names", () => {
  const wrong = readSources(Object.keys(ALLOWED_IMPORTS))
    .filter(({ path, text }) =>
      !path.startsWith(PLATFORM_STAND_IN_FOLDER) &&
      (PLATFORM_HEADERS.test(text) || PLATFORM_FIELDS.test(text))
    ).map(({ path }) => path);
  expect(wrong).toEqual([]);
});

// Guards against a path that sends to endpoints without asking the retry gate.
test("requests and pieces are sent to endpoints in one place each", () => {
  expect(findProductFiles(ENDPOINT_SENDS)).toEqual([
    "kelpspar-gateway/src/pieces/stage_scheduler.ts",
    "kelpspar-gateway/src/requests/endpoint_sender.ts",
  ]);
});

test("the platform's folder uses clocks and timers only through the timer service, and limits bodies", () => {
  const folder = fileURLToPath(
    new URL("../platform/src", `file://${PACKAGES}`),
  );
  const wrong = readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((path) => path.endsWith(".ts") && !path.includes("__tests__"))
    .filter((path) => {
      const text = readFileSync(`${folder}/${path}`, "utf8");
      return CLOCK_ACCESS.test(text) || PROCESS_ACCESS.test(text) ||
        UNLIMITED_BODIES.test(text);
    });
  expect(wrong).toEqual([]);
});
