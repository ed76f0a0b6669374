import type { Mechanism } from "./mechanism.ts";

const GATEWAY = "packages/kelpspar-gateway/src";

/** The mechanisms of the gateway's decisions, each of which can be disabled. */
export const MECHANISMS: readonly Mechanism[] = [
  {
    name: "placement-by-coordinator",
    file: `${GATEWAY}/requests/choose_request_endpoint.ts`,
    code: "return placedEndpoint(run, tried) ?? chooseLocally(run, tried);",
    without: "return chooseLocally(run, tried);",
  },
  {
    name: "prompt-fetch",
    file: `${GATEWAY}/placement/choose_reader.ts`,
    code: "for (const from of [undefined, source]) {",
    without: "for (const from of [undefined]) {",
  },
  {
    name: "memory-in-placement",
    file: `${GATEWAY}/placement/choose_reader.ts`,
    code: "const evictionCost = Math.max(0, evicted) * EVICTION_SHARE;",
    without: "const evictionCost = 0 * evicted * EVICTION_SHARE;",
  },
  {
    name: "bytes-in-placement",
    file: `${GATEWAY}/placement/choose_reader.ts`,
    code: "return reading + fetchCost + crossing + evictionCost;",
    without: "return reading + fetchCost + 0 * crossing + evictionCost;",
  },
  {
    name: "route-priority-within-accounts",
    file: `${GATEWAY}/requests/request_priority.ts`,
    code: "return level + route / ROUTE_PRIORITY_LEVELS;",
    without: "return level + 0 * route;",
  },
  {
    name: "admission",
    file: `${GATEWAY}/pieces/admit_chain.ts`,
    code: "if (excess <= 0) return",
    without: "if (excess < Number.POSITIVE_INFINITY) return",
  },
  {
    name: "admission-by-what-goes-before",
    file: `${GATEWAY}/pieces/backlog.ts`,
    code: "chain.request.priority <= priority ? 1 : LESS_URGENT_SHARE",
    without:
      "chain.request.priority <= priority ? 1 : 0 * LESS_URGENT_SHARE + 1",
  },
  {
    name: "returning-callers-known",
    file: `${GATEWAY}/pieces/refused_callers.ts`,
    code: "return now - (this.#firstAskedAt.get(key) ?? now);",
    without: "return 0 * (now - (this.#firstAskedAt.get(key) ?? now));",
  },
  {
    name: "one-zone-a-stage",
    file: `${GATEWAY}/pieces/crossing_bytes.ts`,
    code: "return isApart ? bytes + own : bytes;",
    without: "return isApart ? bytes + 0 * own : bytes;",
  },
  {
    name: "far-pieces-fill-calls",
    file: `${GATEWAY}/pieces/plan_call.ts`,
    code: "...(hasHighBacklog ? far : [])",
    without: "...(hasHighBacklog ? [] : [])",
  },
  {
    name: "begun-stages-first",
    file: `${GATEWAY}/pieces/rank_piece.ts`,
    code: "const bonus = hasBegun ?",
    without: "const bonus = hasBegun && now < 0 ?",
  },
  {
    name: "late-work-last",
    file: `${GATEWAY}/pieces/rank_piece.ts`,
    code: "const penalty = isLate ?",
    without: "const penalty = isLate && now < 0 ?",
  },
  {
    name: "room-for-whole-stages",
    file: `${GATEWAY}/pieces/startable_pieces.ts`,
    code: "const mayStart = need <= left || left >= room;",
    without: "const mayStart = need < Number.POSITIVE_INFINITY;",
  },
  {
    name: "doubling-of-overdue-calls",
    file: `${GATEWAY}/pieces/stage_scheduler.ts`,
    code: "this.#retries.hedge(call.tasks);",
    without: "",
  },
  {
    name: "learned-room",
    file: `${GATEWAY}/pieces/learn_room.ts`,
    code: "if (target.isRoomPolled) return;",
    without: "if (!target.isRoomPolled) target.foreignBytes = 0;\n  return;",
  },
  {
    name: "leaving-endpoints-keep-work",
    file: `${GATEWAY}/pieces/piece_coordinator.ts`,
    code: 'if (cause === "leaving") {',
    without: 'if (cause === "leaving" && id === "") {',
  },
  {
    name: "starting-daemons-hear-first",
    file: `${GATEWAY}/requests/chain_client.ts`,
    code: "while (!isSettled()) {",
    without: "while (!isSettled() && false) {",
  },
  {
    name: "hedges",
    file: `${GATEWAY}/requests/endpoint_sender.ts`,
    code: 'if (route.kind !== "idempotent") return await first;',
    without: "if (route.kind !== undefined) return await first;",
  },
];
