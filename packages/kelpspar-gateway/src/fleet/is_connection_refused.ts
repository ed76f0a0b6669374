const MAXIMUM_CAUSE_DEPTH = 5;

/** Whether a call failed because nothing listens at its address. */
export function isConnectionRefused(error: unknown): boolean {
  let cause: unknown = error;
  for (let depth = 0; depth < MAXIMUM_CAUSE_DEPTH; depth++) {
    if (!(cause instanceof Error)) return false;
    if ((cause as NodeJS.ErrnoException).code === "ECONNREFUSED") return true;
    ({ cause } = cause);
  }
  return false;
}
