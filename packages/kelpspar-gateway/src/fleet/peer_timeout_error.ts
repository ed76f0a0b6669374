const MAXIMUM_CAUSE_DEPTH = 5;
const CONNECT_TIMEOUT_CODE = "UND_ERR_CONNECT_TIMEOUT";

/** A call to another daemon that wasn't answered in time. */
export class PeerTimeoutError extends Error {
  constructor() {
    super("timed out");
  }
}

/** Whether a call failed only because nothing was heard from the peer. */
export function isPeerTimeout(error: unknown): boolean {
  let cause: unknown = error;
  for (let depth = 0; depth < MAXIMUM_CAUSE_DEPTH; depth++) {
    if (!(cause instanceof Error)) return false;
    if (cause instanceof PeerTimeoutError) return true;
    const { code } = cause as NodeJS.ErrnoException;
    if (code === CONNECT_TIMEOUT_CODE) return true;
    ({ cause } = cause);
  }
  return false;
}
