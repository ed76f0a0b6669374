import type { TableTransaction, TableWrite } from "kelpspar-backends";
import type { Mutant } from "./mutant.ts";
import { KelpsparError } from "kelpspar-shared";
import { withCommit } from "./with_table.ts";

const CONFIGURATION_TABLE = "configuration";

/** Mutants of the invariant that a configuration applies and never reverts. */
export const CONFIGURATION_MUTANTS: readonly Mutant[] = [
  {
    name: "lower_revisions_accepted",
    removes: "Only a higher revision comes into force",
    mutation: {
      core: ({ configurationManager, state, configuration }) => {
        const offer = configurationManager.offer.bind(configurationManager);
        configurationManager.offer = (row, source) => {
          offer(row, source);
          if (row.revision >= configuration.revision()) return;
          state.update(() => ({ configurationRow: row }));
        };
      },
    },
    noticedBy:
      "accepted_configuration: changes follow one another while the way to one daemon is slow",
  },
  {
    name: "changes_without_condition",
    removes: "A change is accepted only on top of the revision it names",
    mutation: withCommit((table, transaction) =>
      table.commit(withoutConditions(transaction))
    ),
    noticedBy: "accepted_configuration: operators race one another",
  },
  {
    name: "lost_change_counts_as_accepted",
    removes: "A change whose answer was lost is read back",
    mutation: withCommit(async (table, transaction) => {
      try {
        return await table.commit(transaction);
      } catch (thrown) {
        const isUnknown = thrown instanceof KelpsparError &&
          thrown.result === "write_unknown";
        if (!isUnknown) throw thrown;
        return { committed: true, versions: transaction.writes.map(() => 1) };
      }
    }),
    noticedBy:
      "accepted_configuration: a change takes effect late and another operator comes first",
  },
  {
    name: "peers_pass_nothing_on",
    removes: "Daemons pass revisions to one another",
    mutation: {
      ports: (ports) => ({
        ...ports,
        peers: {
          exchange: (peer, digest) => ports.peers.exchange(peer, digest),
          askClaim: (peer, inquiry) => ports.peers.askClaim(peer, inquiry),
          configuration: async () => null,
        },
      }),
    },
    noticedBy:
      "accepted_configuration: the store goes down right after a change was accepted",
  },
  {
    name: "revisions_not_followed",
    removes: "Daemons learn of revisions from the store or from peers",
    mutation: {
      core: ({ configurationManager, configuration }) => {
        const offer = configurationManager.offer.bind(configurationManager);
        configurationManager.offer = (row, source) => {
          if (configuration.revision() === 0) offer(row, source);
        };
      },
    },
    noticedBy: "accepted_configuration: a change is accepted",
  },
  {
    name: "table_not_polled",
    removes: "Daemons read the store",
    mutation: {
      ports: (ports) => ({
        ...ports,
        table: {
          commit: (transaction) => ports.table.commit(transaction),
          scan: (scan) => ports.table.scan(scan),
          read: async (keys) => {
            if (keys.length === 1) return await ports.table.read(keys);
            throw new KelpsparError(
              "table_unavailable",
              "The mutant blocks reads",
            );
          },
        },
      }),
    },
    noticedBy: "accepted_configuration: the accepting daemon dies at once",
  },
];

function withoutConditions(transaction: TableTransaction): TableTransaction {
  return {
    writes: transaction.writes.map((write): TableWrite => {
      if (write.table !== CONFIGURATION_TABLE) return write;
      const { expectedVersion: _left, ...rest } = write;
      return rest;
    }),
  };
}
