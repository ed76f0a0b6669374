const PLAIN_KEY = /^[A-Za-z_$][A-Za-z0-9_$]*$/;

/** Formats a path such as `pipelines[1].stages[2].service`. */
export function formatPath(path: readonly PropertyKey[]): string {
  let text = "";
  for (const key of path) text += formatKey(key, text === "");
  return text;
}

function formatKey(key: PropertyKey, first: boolean): string {
  if (typeof key === "number") return `[${key}]`;
  const name = String(key);
  if (!PLAIN_KEY.test(name)) return `[${JSON.stringify(name)}]`;
  return first ? name : `.${name}`;
}
