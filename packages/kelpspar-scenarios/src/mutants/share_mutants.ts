import type { Mutant } from "./mutant.ts";

/** Mutants of the fair sharing among client accounts. */
export const SHARE_MUTANTS: readonly Mutant[] = [
  {
    name: "one_queue_for_all",
    removes: "Each client account waits in a queue of its own",
    mutation: {
      core: ({ scheduler }) => {
        const acquire = scheduler.acquire.bind(scheduler);
        scheduler.acquire = (request) =>
          acquire({ ...request, accountId: "cooperative" });
      },
    },
    noticedBy:
      "fair_shares: the largest account bursts far beyond what the site can do",
  },
];
