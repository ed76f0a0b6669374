/** Reads the whole number of an option; throws a `TypeError` otherwise. */
export function readCount(name: string, text: string): number {
  const count = Number(text);
  if (Number.isInteger(count) && count > 0) return count;
  throw new TypeError(`--${name} takes a whole number above 0, not "${text}"`);
}
