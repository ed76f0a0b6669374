import type { StepArguments } from "../language/step_arguments.ts";
import type { StepTable } from "../language/step_definition.ts";
import type { RetryPlan } from "../world/callers/retry_plan.ts";
import type { World } from "../world/world.ts";
import { DELAY_SUFFIX } from "../language/delayed_steps.ts";
import { LOAD_KINDS } from "../world/callers/load_kind.ts";
import { NO_RETRIES, PATIENT_RETRIES } from "../world/callers/retry_plan.ts";

interface CallerBehavior {
  readonly meaning: string;
  readonly plan: (values: StepArguments) => RetryPlan;
}

/** Caller behaviors, by the suffix that follows "arrive over 2 s". */
const CALLER_BEHAVIORS: Readonly<Record<string, CallerBehavior>> = {
  "": {
    meaning: "each caller sends once",
    plan: () => NO_RETRIES,
  },
  " from patient callers": {
    meaning: "each caller comes back as its records advise, up to 5 attempts",
    plan: () => PATIENT_RETRIES,
  },
  ", each retried at another daemon after {silence:duration} without an answer":
    {
      meaning:
        "a caller leaves a silent daemon and asks another, up to 4 times",
      plan: (values) => ({
        ...PATIENT_RETRIES,
        silenceMilliseconds: values.milliseconds("silence"),
      }),
    },
  ", each retried at the same daemon after {silence:duration} without an answer":
    {
      meaning: "a caller leaves and asks the same daemon again, up to 4 times",
      plan: (values) => ({
        ...PATIENT_RETRIES,
        usesSameDaemon: true,
        silenceMilliseconds: values.milliseconds("silence"),
      }),
    },
  ", each also asked of another daemon after {silence:duration} without an answer":
    {
      meaning: "a caller asks a second daemon and goes on reading the first",
      plan: (values) => ({
        ...NO_RETRIES,
        maximumAttempts: 2,
        keepsFirstAttempt: true,
        silenceMilliseconds: values.milliseconds("silence"),
      }),
    },
  ", each asked of another daemon again {again:duration} after its answer": {
    meaning:
      "a caller that was answered asks a second daemon for the same, and comes back as records advise",
    plan: (values) => ({
      ...PATIENT_RETRIES,
      maximumAttempts: 6,
      repeatAfterMilliseconds: values.milliseconds("again"),
    }),
  },
  ", each sent to two daemons at once": {
    meaning: "a caller sends the same request to two daemons at one moment",
    plan: () => ({ ...NO_RETRIES, maximumAttempts: 2, sendsTwoAtOnce: true }),
  },
  ", each sent twice at once to one daemon": {
    meaning: "a caller sends the same request twice to one daemon",
    plan: () => ({
      ...NO_RETRIES,
      maximumAttempts: 2,
      sendsTwoAtOnce: true,
      usesSameDaemon: true,
    }),
  },
};

const ACCOUNTS: readonly string[] = [
  "cooperative",
  "spreaders",
  "agronomists",
  "growers",
  "dispatchers",
];

/** Steps that schedule requests. */
export const LOAD_STEPS: StepTable = {
  "callers have a deadline of {deadline:duration}": {
    meaning: "Sets the deadline of requests planned from here on; at first 3 s",
    handler: (world, values) => {
      world.loads.deadlineMilliseconds = values.milliseconds("deadline");
    },
  },
  "callers use daemon {daemon:number} first": {
    meaning: "Requests planned from here on go to this daemon first",
    handler: (world, values) => {
      world.loads.daemon = values.number("daemon");
    },
  },
  "callers use all daemons": {
    meaning:
      "Requests planned from here on go where the directory says, as at first",
    handler: (world) => {
      world.loads.daemon = undefined;
    },
  },
  "callers are of {account:name}": {
    meaning: "Requests planned from here on are of this client account",
    handler: (world, values) => {
      world.loads.accountId = values.text("account");
    },
  },
  "callers are of all accounts": {
    meaning:
      "Requests planned from here on are of the client accounts in turn, as at first",
    handler: (world) => {
      world.loads.accountId = undefined;
    },
  },
  ...createArrivalSteps(),
};

/**
 * With the suffix `after 2 s` a load starts later, but its callers have the
 * properties that are set when the step is read.
 */
function createArrivalSteps(): StepTable {
  const rows = Object.entries(CALLER_BEHAVIORS).flatMap(
    ([suffix, behavior]) => {
      const pattern =
        "{count:number} {load:words} arrive over {time:duration}" +
        suffix;
      const definition = {
        meaning:
          `Callers send so many requests, evenly over the time and the availability zones; ${behavior.meaning}`,
      };
      const createHandler = (delay: (values: StepArguments) => number) =>
      (
        world: World,
        values: StepArguments,
      ): void =>
        scheduleArrivals(world, values, {
          retries: behavior.plan(values),
          delayMilliseconds: delay(values),
        });
      return [
        [pattern, { ...definition, handler: createHandler(() => 0) }] as const,
        [pattern + DELAY_SUFFIX, {
          ...definition,
          handler: createHandler((values) => values.milliseconds("after")),
        }] as const,
      ];
    },
  );
  return Object.fromEntries(rows);
}

function scheduleArrivals(
  world: World,
  values: StepArguments,
  options: {
    readonly retries: RetryPlan;
    readonly delayMilliseconds: number;
  },
): void {
  const { retries, delayMilliseconds } = options;
  const kind = LOAD_KINDS[values.text("load")];
  if (kind === undefined) {
    throw new Error(`No load "${values.text("load")}"`);
  }
  const { deadlineMilliseconds, daemon, accountId } = world.loads;
  const count = values.number("count");
  const intervalMilliseconds = values.milliseconds("time") / count;
  for (let index = 0; index < count; index++) {
    world.actionQueue.schedule(
      delayMilliseconds + intervalMilliseconds * index,
      () => {
        world.callers.submit({
          kind,
          accountId: accountId ?? ACCOUNTS[index % ACCOUNTS.length] ?? "",
          retries,
          deadlineMilliseconds,
          ...(daemon === undefined ? {} : { daemon: world.daemon(daemon) }),
        });
      },
    );
  }
}
