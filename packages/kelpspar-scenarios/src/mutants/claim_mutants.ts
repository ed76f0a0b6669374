import type { TableRow, TableTransaction, TableWrite } from "kelpspar-backends";
import type { Mutant } from "./mutant.ts";
import { formatEpochKey, parseEpochKey } from "kelpspar-decisions/claims";
import { KelpsparError } from "kelpspar-shared";
import { withEndpoints } from "./with_endpoints.ts";
import { withCommit } from "./with_table.ts";

const CLAIMS_TABLE = "claims";

/** Mutants of the invariant that a request runs at most once. */
export const CLAIM_MUTANTS: readonly Mutant[] = [
  {
    name: "claims_without_condition",
    removes: "A claim is written whatever row is there",
    mutation: withCommit((table, transaction) =>
      table.commit(withoutConditions(transaction))
    ),
    noticedBy: "at_most_once: the same booking reaches two daemons at once",
  },
  {
    name: "lost_claim_counts_as_made",
    removes: "A claim whose answer was lost is settled before its request runs",
    mutation: withCommit(async (table, transaction) => {
      try {
        return await table.commit(transaction);
      } catch (thrown) {
        if (!isUnknown(thrown)) throw thrown;
        return { committed: true, versions: transaction.writes.map(() => 1) };
      }
    }),
    noticedBy:
      "at_most_once: the claim's write takes effect late and the caller retries elsewhere",
  },
  {
    name: "dispatch_before_claim",
    removes: "A request waits for its claim before it runs",
    mutation: {
      core: ({ claims }) => {
        const begin = claims.begin.bind(claims);
        claims.begin = (beginning) => {
          const handle = begin(beginning);
          beginning.listener.onRun();
          return { ...handle, tryDispatch: () => true };
        };
      },
    },
    noticedBy:
      "at_most_once: the same booking reaches two daemons at once and the store is slow",
  },
  {
    name: "ledger_forgets",
    removes: "A daemon remembers the keys that it runs",
    mutation: {
      core: ({ ledger }) => {
        ledger.lookUp = () => undefined;
        ledger.begin = () => ({ type: "run", bound: true });
      },
    },
    noticedBy: "at_most_once: the same booking reaches one daemon twice",
  },
  {
    name: "claims_taken_over",
    removes: "A claim that another daemon holds is never taken over",
    mutation: {
      ports: (ports) => ({
        ...ports,
        table: {
          scan: (scan) => ports.table.scan(scan),
          read: async (keys) => {
            const rows = await ports.table.read(keys);
            return rows.map(toReleased);
          },
          commit: async (transaction) => {
            const result = await ports.table.commit(transaction);
            if (result.committed) return result;
            const conflicts = result.conflicts.map((conflict) => ({
              ...conflict,
              row: toReleased(conflict.row),
            }));
            return { ...result, conflicts };
          },
        },
      }),
    },
    noticedBy: "at_most_once: daemons die while bookings are under way",
  },
  {
    name: "bound_keys_run_anywhere",
    removes: "A key bound to an incarnation runs at that one alone",
    mutation: {
      core: ({ ledger, incarnation }) => {
        const begin = ledger.begin.bind(ledger);
        ledger.begin = (request, now) =>
          begin(
            { ...request, key: bindKeyTo(request.key, incarnation) },
            now,
          );
      },
    },
    noticedBy: "at_most_once: a daemon that minted keys dies and starts anew",
  },
  {
    name: "once_calls_on_kept_connections",
    removes: "A call that may not be repeated travels on a new connection",
    mutation: withEndpoints({
      call: (client, { address, call, options }) =>
        client.call(address, call, { ...options, newConnection: false }),
      renews: false,
    }),
    noticedBy:
      "at_most_once: open connections to the booking service go silent",
  },
  {
    name: "resumed_stream_runs_again",
    removes: "A broken stream is taken up where it runs, not run again",
    mutation: withEndpoints({
      call: (client, { address, call, options }) => {
        const { resumeAttemptId: _left, ...newCall } = call;
        return client.call(address, newCall, options);
      },
    }),
    noticedBy:
      "at_most_once: open connections to engines go silent while amendments are written",
  },
];

function withoutConditions(transaction: TableTransaction): TableTransaction {
  return {
    writes: transaction.writes.map((write): TableWrite => {
      if (write.table !== CLAIMS_TABLE) return write;
      const { expectedVersion: _left, ...rest } = write;
      return rest;
    }),
  };
}

function toReleased(row: TableRow | null): TableRow | null {
  if (row === null || row.table !== CLAIMS_TABLE) return row;
  return { ...row, value: { ...row.value as object, state: "released" } };
}

function bindKeyTo(key: string, incarnation: string): string {
  const parsed = parseEpochKey(key);
  if (typeof parsed === "string") return key;
  return formatEpochKey({ ...parsed, incarnation, epoch: 0 });
}

function isUnknown(thrown: unknown): boolean {
  return thrown instanceof KelpsparError && thrown.result === "write_unknown";
}
