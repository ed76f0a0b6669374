import type { Mutant } from "./mutant.ts";

/** Mutants of the invariant that every planned stop is graceful. */
export const STOP_MUTANTS: readonly Mutant[] = [
  {
    name: "stop_at_once",
    removes: "A planned stop waits for what is in flight",
    mutation: { drain: async () => {} },
    noticedBy: "planned_stops: a daemon is stopped under load",
  },
  {
    name: "stop_after_a_second",
    removes: "A planned stop waits as long as it takes",
    mutation: {
      drain: async ({ core, timer, announce }) => {
        core.state.update(() => ({ isLeaving: true }));
        await announce();
        await new Promise<void>((resolve) => {
          timer.registerTimeout(resolve, 1_000);
        });
      },
    },
    noticedBy: "planned_stops: a daemon is stopped while stages are slow",
  },
];
