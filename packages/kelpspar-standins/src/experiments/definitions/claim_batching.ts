import type { Experiment } from "../experiment.ts";

const LINGERS_MILLISECONDS = [0, 4, 25] as const;
const TRANSACTIONS_PER_SECOND = 300;

/**
 * 250 once-requests per second of one stage each, with a table that accepts 300
 * transactions per second. Without batching, each claim and each result would
 * be a transaction of its own: `rowsWritten` transactions in total.
 */
export const CLAIM_BATCHING: Experiment = {
  name: "claim-batching",
  question: "How many transactions do claims take, by the time they wait?",
  runs: LINGERS_MILLISECONDS.map((linger) => ({
    arm: "kelpspar",
    variant: `linger-${linger}`,
    site: {
      engines: 1,
      table: { transactionsPerSecond: TRANSACTIONS_PER_SECOND },
      daemonSettings: { intervals: { claimBatchMilliseconds: linger } },
    },
    load: {
      requestsPerSecond: 250,
      onceShare: 1,
      oncePipeline: "order",
      seconds: 8,
    },
    inspect: async (_run, site) => {
      const { transactions, rowsWritten, refused, conflicts } = await site
        .faults.tableCounters();
      return {
        transactions,
        rowsWritten,
        refusedTransactions: refused,
        conflicts,
        rowsPerTransaction: Math.round(100 * rowsWritten / transactions) / 100,
      };
    },
  })),
};
