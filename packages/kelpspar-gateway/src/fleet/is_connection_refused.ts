/** How deep causes are looked through. */
const MOST_CAUSES = 5;

/** True when a call failed since nothing listens at its address. */
export function isRefused(error: unknown): boolean {
  let cause: unknown = error;
  for (let depth = 0; depth < MOST_CAUSES; depth++) {
    if (!(cause instanceof Error)) return false;
    if ((cause as NodeJS.ErrnoException).code === "ECONNREFUSED") return true;
    ({ cause } = cause);
  }
  return false;
}
