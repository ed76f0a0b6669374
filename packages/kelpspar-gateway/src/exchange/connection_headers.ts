/** Headers of a single connection, which are never forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
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
 * Returns alternating names and values without hop-by-hop headers (the standard
 * ones and those that `Connection` lists) and without those in `dropped` (names
 * in lower case).
 */
export function endToEndHeaders(
  raw: readonly string[],
  dropped: ReadonlySet<string> = NONE,
): readonly string[] {
  const listed = connectionListedHeaders(raw);
  const kept: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const [name, value] = [raw[index] as string, raw[index + 1] as string];
    const lower = name.toLowerCase();
    const isDropped = HOP_BY_HOP_HEADERS.has(lower) || dropped.has(lower) ||
      listed.has(lower);
    if (!isDropped) kept.push(name, value);
  }
  return kept;
}

/** Returns the first value of a header; `name` in lower case. */
export function headerValue(
  raw: readonly string[],
  name: string,
): string | undefined {
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]?.toLowerCase() === name) return raw[index + 1];
  }
  return undefined;
}

function connectionListedHeaders(raw: readonly string[]): ReadonlySet<string> {
  const names = new Set<string>();
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]?.toLowerCase() !== "connection") continue;
    for (const name of (raw[index + 1] ?? "").split(",")) {
      names.add(name.trim().toLowerCase());
    }
  }
  return names;
}
