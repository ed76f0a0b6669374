import { Buffer } from "node:buffer";
import fc from "fast-check";
import { createConfiguration, KEYS } from "./test_site.ts";

/** An HTTP request as sent on a connection, in Latin-1. */
export interface ArbitraryRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: string;
}

/** Higher than any revision of a test site. */
const NO_REVISION = 1_000_000;

const otherMethods = fc.constantFrom(
  "GET",
  "POST",
  "DELETE",
  "PUT",
  "HEAD",
  "OPTIONS",
  "PROPFIND",
);

/** Printable characters without the space, which would end the path. */
const pathText = fc.string({ unit: "binary-ascii", maxLength: 20 }).map((
  text,
) => text.replace(/[^!-~]/g, "~"));

const pathPart = fc.oneof(
  pathText,
  fc.string({ unit: "binary", maxLength: 8 }).map(encodePart),
  fc.constantFrom(
    "%zz",
    "%ff",
    "%2f",
    "%00",
    "..",
    "",
    "__proto__",
    "constructor",
    "@daemon-1/0.k",
  ),
);

const query = fc.oneof(
  fc.constant(""),
  fc.tuple(
    fc.constantFrom("offset", "limit", "zone", "input", "batch"),
    fc.oneof(pathText, fc.double().map(String), fc.integer().map(String)),
  ).map(([name, value]) => `?${name}=${value}`),
);

const otherKeys = fc.oneof(
  fc.constantFrom(...Object.values(KEYS)),
  pathText,
);

/** Headers that do not affect the body's framing or the connection. */
const headers = fc.array(
  fc.tuple(
    fc.constantFrom(
      "accept",
      "accept-encoding",
      "content-type",
      "cookie",
      "origin",
      "range",
      "x-kelpspar-peer-secret",
      "x-forwarded-for",
    ),
    fc.string({ unit: "binary-ascii", maxLength: 30 }),
  ).map(([name, value]) => `${name}: ${value.replace(/[^ -~]/g, "~")}`),
  { maxLength: 4 },
);

/** Requests to the caller API. */
export const arbitraryCallerRequests = createRequests({
  key: KEYS.small,
  routes: [
    ["POST", "/v1/requests"],
    ["POST", "/v1/requests"],
    ["GET", "/v1/addresses"],
    ["GET", "/v1/requests/:part/stream"],
    ["GET", "/v1/requests/by-key/:part"],
    ["DELETE", "/v1/requests/:part"],
    ["GET", "/:part"],
    ["GET", "/:part/:part"],
    ["GET", "/v1/health"],
    ["GET", "/v1/ready"],
  ],
  bodies: fc.record({
    pipeline: mostly(fc.constantFrom("echo", "booking")),
    input: mostly(fc.string({ unit: "binary" })),
    deadlineMilliseconds: mostly(fc.constantFrom(1, 1_000, 60_000)),
    idempotencyKey: mostly(
      fc.oneof(
        fc.constantFrom("a", "b", "@x/0.a", "@"),
        fc.string({ unit: "binary", minLength: 1 }),
      ),
    ),
    nonIdempotent: mostly(fc.boolean()),
    resubmission: mostly(fc.boolean()),
    priority: mostly(fc.integer({ min: 0, max: 9 })),
    resumeOffset: mostly(fc.oneof(fc.nat(20), fc.maxSafeNat())),
  }, { requiredKeys: ["pipeline", "input", "deadlineMilliseconds"] }),
});

/** Requests to the operator API. */
export const arbitraryOperatorRequests = createRequests({
  key: KEYS.administrator,
  routes: [
    ["GET", "/v1/operator/:part"],
    ["GET", "/v1/operator/status"],
    ["GET", "/v1/operator/requests/:part"],
    ["GET", "/v1/operator/configuration/history"],
    ["GET", "/v1/operator/configuration/changes/:part"],
    ["POST", "/v1/operator/configuration"],
    ["POST", "/v1/operator/configuration"],
    ["POST", "/v1/operator/drains"],
    ["DELETE", "/v1/operator/drains/:part/:part"],
    ["DELETE", "/v1/operator/drains/endpoint/:part"],
  ],
  bodies: fc.oneof(
    fc.record({
      configuration: mostly(changedConfiguration()),
      expectedRevision: mostly(fc.constant(NO_REVISION)),
      changeId: mostly(fc.string({ unit: "binary", minLength: 1 })),
    }),
    fc.record({
      kind: mostly(fc.constantFrom("endpoint", "daemon")),
      id: mostly(
        fc.oneof(fc.string({ unit: "binary" }), fc.constant("__proto__")),
      ),
    }),
  ),
});

/** Serializes a request for a connection. */
export function writeRequest(request: ArbitraryRequest): string {
  const length = Buffer.byteLength(request.body, "latin1");
  const lines = [
    `${request.method} ${request.path} HTTP/1.1`,
    "host: x",
    "connection: close",
    `content-length: ${length}`,
    ...request.headers,
  ];
  return `${lines.join("\r\n")}\r\n\r\n${request.body}`;
}

function createRequests(options: {
  readonly key: string;
  readonly routes: readonly (readonly [string, string])[];
  readonly bodies: fc.Arbitrary<unknown>;
}): fc.Arbitrary<ArbitraryRequest> {
  const body = fc.oneof(
    {
      weight: 8,
      arbitrary: options.bodies.map((value) => JSON.stringify(value)),
    },
    { weight: 1, arbitrary: fc.json() },
    { weight: 1, arbitrary: fc.string({ unit: "binary" }) },
  ).map((text) => Buffer.from(text, "utf8").toString("latin1"));
  return fc.record({
    route: fc.constantFrom(...options.routes),
    method: mostly(fc.constant(""), otherMethods),
    parts: fc.tuple(pathPart, pathPart, query),
    key: mostly(fc.constant(options.key), otherKeys),
    headers,
    body,
  }).map(({ route, parts, key, ...request }) => ({
    method: request.method || route[0],
    path: fillPath(route[1], parts),
    headers: [`authorization: Bearer ${key}`, ...request.headers],
    body: request.body,
  }));
}

function fillPath(
  path: string,
  [first, second, rest]: readonly [string, string, string],
): string {
  return path.replace(":part", () => first).replace(":part", () => second) +
    rest;
}

/** Generates `valid` nine times out of ten, otherwise `other`. */
function mostly<Value>(
  valid: fc.Arbitrary<Value>,
  other: fc.Arbitrary<unknown> = fc.jsonValue(),
): fc.Arbitrary<Value> {
  return fc.oneof(
    { weight: 9, arbitrary: valid },
    { weight: 1, arbitrary: other as fc.Arbitrary<Value> },
  );
}

/** The site's configuration with one of its fields replaced. */
function changedConfiguration(): fc.Arbitrary<unknown> {
  const valid = createConfiguration();
  return fc.tuple(fc.constantFrom(...Object.keys(valid)), fc.jsonValue()).map(
    ([field, value]) => ({ ...valid, [field]: value }),
  );
}

/** Percent-encodes text; replaces lone surrogates, which have no encoding. */
function encodePart(text: string): string {
  return encodeURIComponent(text.toWellFormed());
}
