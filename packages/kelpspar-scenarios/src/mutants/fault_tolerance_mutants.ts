import type { Mutant } from "./mutant.ts";
import { KelpsparError } from "kelpspar-shared";

/** Mutants of the safeguards that keep requests running during failures. */
export const FAULT_TOLERANCE_MUTANTS: readonly Mutant[] = [
  {
    name: "no_retries",
    removes: "A repeatable call that failed is made again elsewhere",
    mutation: {
      core: ({ parts }) => {
        parts.retries.allows = () => false;
      },
    },
    noticedBy: "own_results: retriever-1 never answers every 2nd call",
  },
  {
    name: "store_on_every_path",
    removes: "What may be repeated needs nothing of the store",
    mutation: {
      core: ({ requests, store }) => {
        let isUp = true;
        const submit = requests.submit.bind(requests);
        requests.submit = (account, request) => {
          store.read().then(() => isUp = true, () => isUp = false);
          if (isUp) return submit(account, request);
          throw new KelpsparError("store_unavailable", "The store is down");
        };
      },
    },
    noticedBy: "own_results: the store is down while spread plans arrive",
  },
];
