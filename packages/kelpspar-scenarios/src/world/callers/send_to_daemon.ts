import type { AccountConfiguration } from "kelpspar-configuration";
import type { RequestContext } from "kelpspar-daemon";
import type { StoredResult } from "kelpspar-decisions/claims";
import type { SubmitRequest } from "kelpspar-shared";
import type { WorldDaemon } from "../daemon/world_daemon.ts";
import { KelpsparError } from "kelpspar-shared";

/** A whole answer that a daemon or the table stored. */
export type StoredAnswer = Extract<StoredResult, { readonly text: string }>;

/** A request of a caller to a daemon. */
export interface CallerRequest {
  readonly account: AccountConfiguration;
  readonly request: SubmitRequest;
  /** True to only look up the result of the idempotency key. */
  readonly isLookUp: boolean;
}

/**
 * Submits or looks up a request like the daemon's HTTP routes for callers.
 * Throws a KelpsparError if the daemon refuses.
 */
export async function sendToDaemon(
  daemon: WorldDaemon,
  callerRequest: CallerRequest,
): Promise<
  { readonly context: RequestContext } | { readonly result: StoredAnswer }
> {
  const { lookup, requests, configurationManager } = daemon.core;
  const { account, request, isLookUp } = callerRequest;
  if (!isLookUp) {
    await configurationManager.waitWhileHolding();
    return { context: requests.submit(account, request) };
  }
  const found = await lookup.find(account, request.idempotencyKey ?? "");
  if ("context" in found) return found;
  if ("text" in found.result) return { result: found.result };
  throw new KelpsparError("result_expired", "The result was too long to store");
}
