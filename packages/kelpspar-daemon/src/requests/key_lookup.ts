import type { AccountConfiguration } from "kelpspar-configuration";
import type { HeldElsewhere, StoredResult } from "kelpspar-decisions/claims";
import type { TableService } from "kelpspar-backends";
import type { RequestContext } from "./request_context.ts";
import type { RequestKeys } from "./request_keys.ts";
import type { RequestRegistry } from "./request_registry.ts";
import type { ClaimHolderQuery } from "./resolve_settlement.ts";
import {
  claimKey,
  CLAIMS_TABLE,
  parseClaimContent,
} from "kelpspar-decisions/claims";
import { KelpsparError, parseBoundKey } from "kelpspar-shared";
import { resolveSettlement } from "./resolve_settlement.ts";

/** Options of `KeyLookup`. */
export interface KeyLookupOptions {
  readonly keys: RequestKeys;
  readonly registry: RequestRegistry;
  readonly table: TableService;
  /** This daemon's incarnation. */
  readonly incarnation: string;
  readonly createHolderQuery: (
    accountId: string,
    idempotencyKey: string,
  ) => ClaimHolderQuery;
}

/** A request that runs on this daemon, or the result of a completed one. */
export type FoundRequest =
  | { readonly context: RequestContext }
  | { readonly result: StoredResult };

/**
 * Finds the request of an idempotency key: on this daemon, in the table, or at
 * the daemon that holds its claim. Never starts a request.
 */
export class KeyLookup {
  readonly #options: KeyLookupOptions;

  constructor(options: KeyLookupOptions) {
    this.#options = options;
  }

  /** Throws `request_not_found`, `in_progress`, `outcome_unknown`, ... */
  async find(
    account: AccountConfiguration,
    idempotencyKey: string,
  ): Promise<FoundRequest> {
    const local = this.#findLocally(account.id, idempotencyKey);
    if (local !== undefined) return local;
    const bound = parseBoundKey(idempotencyKey);
    if (bound?.incarnation === this.#options.incarnation) {
      throw new KelpsparError(
        "request_not_found",
        "No request has this idempotency key, or it is no longer remembered",
      );
    }
    if (bound !== undefined) {
      throw new KelpsparError(
        "wrong_daemon",
        "The idempotency key is bound to a daemon, and this one knows nothing of it",
      );
    }
    const found = await this.#findInTable(account.id, idempotencyKey);
    if ("result" in found) return { result: found.result };
    throw found.error;
  }

  #findLocally(accountId: string, key: string): FoundRequest | undefined {
    const entry = this.#options.keys.lookUp(accountId, key);
    if (entry === undefined) return undefined;
    if (entry.state === "completed") return { result: entry.result };
    if (entry.state === "running") {
      const { registry } = this.#options;
      const context = registry.find(entry.requestId, accountId);
      if (context !== undefined) {
        // A look-up means that an answer was lost; the caller may have
        // resubmitted the request to another daemon.
        context.mayRunElsewhere = true;
        return { context };
      }
    }
    const result = entry.state === "running" ? "outcome_unknown" : entry.state;
    throw new KelpsparError(result, `The request's state is "${result}"`);
  }

  async #findInTable(
    accountId: string,
    key: string,
  ): Promise<Awaited<ReturnType<typeof resolveSettlement>>> {
    const [row] = await this.#options.table.read([
      { table: CLAIMS_TABLE, key: claimKey(accountId, key) },
    ]);
    const content = parseClaimContent(row?.value);
    if (content === undefined || content.state === "released") {
      throw new KelpsparError(
        "request_not_found",
        "No request of this client account has this idempotency key",
      );
    }
    const queryHolder = this.#options.createHolderQuery(accountId, key);
    if (content.state === "claimed") {
      const held: HeldElsewhere = { type: "held_elsewhere", ...content };
      return resolveSettlement(held, queryHolder);
    }
    const { result } = content;
    return resolveSettlement(
      result === undefined
        ? { type: "expired" }
        : { type: "completed", result },
      queryHolder,
    );
  }
}
