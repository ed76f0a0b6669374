import type { Experiment } from "../experiment.ts";
import { bothArms } from "../both_arms.ts";

const SILENT_EVERY = 2;

/**
 * Open connections to half of the endpoints, then to the other half, then to
 * the table and the VM list become permanently silent. New connections work.
 */
export const SILENT_CONNECTIONS: Experiment = {
  name: "silent-connections",
  question: "What do connections cost that go silent?",
  runs: bothArms({
    load: { seconds: 12 },
    script: async ({ site, at }) => {
      const isFirst = (_: unknown, index: number): boolean =>
        index % SILENT_EVERY === 0;
      await at(2);
      await site.faults.silence(site.endpoints.filter(isFirst));
      await at(5);
      await site.faults.silence(
        site.endpoints.filter((endpoint, index) => !isFirst(endpoint, index)),
      );
      await at(8);
      await site.faults.silencePlatform();
    },
  }),
};
