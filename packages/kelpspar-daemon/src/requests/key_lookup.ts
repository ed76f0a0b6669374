import type { AccountConfiguration } from "kelpspar-configuration";
import type { HeldElsewhere, StoredResult } from "kelpspar-decisions/claims";
import type { TableService } from "kelpspar-backends";
import type { RequestContext } from "./request_context.ts";
import type { RequestKeys } from "./request_keys.ts";
import type { RequestRegistry } from "./request_registry.ts";
import type { AskHolder } from "./resolve_settlement.ts";
import {
  claimKey,
  CLAIMS_TABLE,
  parseClaimContent,
} from "kelpspar-decisions/claims";
import { KelpsparError, parseBoundKey } from "kelpspar-shared";
import { answerSettlement } from "./resolve_settlement.ts";

/** What keys are looked up in. */
export interface KeyLookupOptions {
  readonly keys: RequestKeys;
  readonly registry: RequestRegistry;
  readonly table: TableService;
  /** This daemon's incarnation. */
  readonly incarnation: string;
  readonly askHolder: (accountId: string, idempotencyKey: string) => AskHolder;
}

/** A request that runs here, or the result of one that completed. */
export type FoundRequest =
  | { readonly context: RequestContext }
  | { readonly result: StoredResult };

/**
 * Finds the request of an idempotency key: here, in the table, or at the
 * daemon that holds its claim. Never starts anything.
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
    const here = this.#findHere(account.id, idempotencyKey);
    if (here !== undefined) return here;
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

  #findHere(accountId: string, key: string): FoundRequest | undefined {
    const finding = this.#options.keys.lookUp(accountId, key);
    if (finding === undefined) return undefined;
    if (finding.state === "completed") return { result: finding.result };
    if (finding.state === "running") {
      const { registry } = this.#options;
      const context = registry.find(finding.requestId, accountId);
      if (context !== undefined) {
        // Who looks a key up has lost an answer, and may have asked elsewhere.
        context.mayRunElsewhere = true;
        return { context };
      }
    }
    const result = finding.state === "running"
      ? "outcome_unknown"
      : finding.state;
    throw new KelpsparError(result, `The request's state is "${result}"`);
  }

  async #findInTable(
    accountId: string,
    key: string,
  ): Promise<Awaited<ReturnType<typeof answerSettlement>>> {
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
    const ask = this.#options.askHolder(accountId, key);
    if (content.state === "claimed") {
      const held: HeldElsewhere = { type: "held_elsewhere", ...content };
      return answerSettlement(held, ask);
    }
    const { result } = content;
    return answerSettlement(
      result === undefined
        ? { type: "expired" }
        : { type: "completed", result },
      ask,
    );
  }
}
