import type { ClaimDecision } from "./claim_decision.ts";
import type { ClaimIdentity } from "./claim_identity.ts";
import type { ClaimContent, ClaimState, FoundClaim } from "./claim_row.ts";

const ABSENT_VERSION = 0;

/**
 * Decides what the row found under a key means for our claim.
 *
 * Guards against two daemons that run the same booking; the symptom is two
 * trucks at one field. A claim written by another operation is therefore never
 * taken over, however old it is: its holder may be paused and still run it.
 * Only a row that its own writer marked `released` is free again.
 *
 * Source: the brief, "What must always hold" (at most once).
 */
export function decideClaim(
  found: FoundClaim | null,
  identity: ClaimIdentity,
): ClaimDecision {
  if (found === null) return { type: "claim", expectedVersion: ABSENT_VERSION };
  const { content, version } = found;
  if (content === undefined) return UNREADABLE_ROW_DECISION;
  if (content.operationId === identity.operationId) {
    return OWN_ROW_HANDLERS[content.state](content, version);
  }
  if (content.bodyHash !== identity.bodyHash) return { type: "reused" };
  const isAbandoned = identity.abandonedOperations?.includes(
    content.operationId,
  );
  if (content.state === "claimed" && isAbandoned) {
    return { type: "claim", expectedVersion: version };
  }
  return FOREIGN_ROW_HANDLERS[content.state](content, version);
}

type RowHandler = (content: ClaimContent, version: number) => ClaimDecision;

const UNREADABLE_ROW_DECISION: ClaimDecision = {
  type: "held_elsewhere",
  daemon: "",
  requestId: "",
  operationId: "",
};

const OWN_ROW_HANDLERS: Readonly<Record<ClaimState, RowHandler>> = {
  claimed: (_content, version) => ({ type: "owned", version }),
  done: toCompleted,
  released: () => ({ type: "abandoned" }),
};

const FOREIGN_ROW_HANDLERS: Readonly<Record<ClaimState, RowHandler>> = {
  claimed: ({ daemon, requestId, operationId }) => ({
    type: "held_elsewhere",
    daemon,
    requestId,
    operationId,
  }),
  done: toCompleted,
  released: (_content, version) => ({
    type: "claim",
    expectedVersion: version,
  }),
};

function toCompleted(content: ClaimContent): ClaimDecision {
  if (content.result === undefined) return { type: "expired" };
  return { type: "completed", result: content.result };
}
