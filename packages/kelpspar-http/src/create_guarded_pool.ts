import type { ConnectOptions } from "./guarded_client.ts";
import type { MalformedListener } from "./progress_guard.ts";
import { buildConnector, Pool } from "undici";
import { GuardedClient } from "./guarded_client.ts";

/** Options of `createGuardedPool`. */
export interface GuardedPoolOptions
  extends Omit<Pool.Options, "connect" | "factory"> {
  readonly connect?: ConnectOptions | undefined;
  /** Called when a connection is closed for what came on it; default none. */
  readonly onMalformed?: MalformedListener | undefined;
}

/** Creates a pool of which a `ProgressGuard` watches each connection. */
export function createGuardedPool(
  origin: string | URL,
  { connect = {}, onMalformed, ...options }: GuardedPoolOptions = {},
): Pool {
  const connector = typeof connect === "function"
    ? connect
    : buildConnector(connect);
  return new Pool(origin, {
    ...options,
    factory: (_, clientOptions) =>
      new GuardedClient(origin, {
        ...clientOptions,
        connect: connector,
        onMalformed,
      }),
  });
}
