import type { AccountConfiguration } from "kelpspar-configuration";
import type { RequestContext } from "kelpspar-daemon";
import type { StoredResult } from "kelpspar-decisions/claims";
import type { SubmitRequest } from "kelpspar-shared";
import type { WorldDaemon } from "../daemon/world_daemon.ts";
import { KelpsparError } from "kelpspar-shared";

/** A whole answer that a daemon or the table kept. */
export type StoredAnswer = Extract<StoredResult, { readonly text: string }>;

/** What a caller asks of a daemon. */
export interface CallerRequest {
  readonly account: AccountConfiguration;
  readonly request: SubmitRequest;
  /** True to look the key up without starting anything. */
  readonly isLookUp: boolean;
}

/** Does what a daemon's HTTP routes for callers do; throws its refusal. */
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
  throw new KelpsparError("result_expired", "The result was too long to keep");
}
