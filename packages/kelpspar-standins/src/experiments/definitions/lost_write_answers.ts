import type { Experiment } from "../experiment.ts";
import { bothArms } from "../both_arms.ts";

/**
 * A fifth of the table's writes take effect but their answer is lost; another
 * twentieth take effect half a second late.
 */
export const LOST_WRITE_ANSWERS: Experiment = {
  name: "lost-write-answers",
  question: "Does a write whose answer is lost double or lose anything?",
  runs: bothArms({
    load: { seconds: 10, onceShare: 0.5 },
    script: async ({ site, at }) => {
      await at(1);
      await site.faults.setTable({
        loseAnswerShare: 0.2,
        delayWriteShare: 0.05,
        lostAnswer: "reset",
      });
      await at(5);
      await site.faults.setTable({ lostAnswer: "hang" });
      await at(9);
      await site.faults.setTable({ loseAnswerShare: 0, delayWriteShare: 0 });
    },
  }),
};
