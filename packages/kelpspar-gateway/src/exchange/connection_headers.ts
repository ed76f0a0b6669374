/** Headers that concern one connection only and are never passed on. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
]);

const NONE: ReadonlySet<string> = new Set();

/**
 * Names and values in turn, without those of one connection: the listed ones,
 * those that `Connection` names, and the names in `dropped` (lower case).
 */
export function passedHeaders(
  raw: readonly string[],
  dropped: ReadonlySet<string> = NONE,
): readonly string[] {
  const named = namedByConnection(raw);
  const passed: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const [name, value] = [raw[index] as string, raw[index + 1] as string];
    const lower = name.toLowerCase();
    const isDropped = CONNECTION_HEADERS.has(lower) || dropped.has(lower) ||
      named.has(lower);
    if (!isDropped) passed.push(name, value);
  }
  return passed;
}

/** The first value of a header; `name` in lower case. */
export function headerValue(
  raw: readonly string[],
  name: string,
): string | undefined {
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]?.toLowerCase() === name) return raw[index + 1];
  }
  return undefined;
}

function namedByConnection(raw: readonly string[]): ReadonlySet<string> {
  const names = new Set<string>();
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]?.toLowerCase() !== "connection") continue;
    for (const name of (raw[index + 1] ?? "").split(",")) {
      names.add(name.trim().toLowerCase());
    }
  }
  return names;
}
