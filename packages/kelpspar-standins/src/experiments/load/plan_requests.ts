import type { RandomSource } from "kelpspar-shared";
import type { ExperimentPipeline, LoadPlan } from "./load_plan.ts";
import type { PlannedRequest } from "./planned_request.ts";
import { SeededRandom } from "kelpspar-shared";
import { expectAnswer } from "./expect_answer.ts";
import { ACCOUNT_SHARES, ACCOUNTS } from "./load_plan.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/** Sampling step of the highest factor; shorter than any burst. */
const FACTOR_STEP_SECONDS = 0.1;

/** Options of `planRequests`. */
export interface PlanRequestsOptions {
  readonly seed: number;
  readonly availabilityZones: readonly string[];
}

/**
 * Draws the requests of a load: a Poisson process for each account, thinned to
 * the rate at each time. Both arms get the same requests for the same seed.
 */
export function planRequests(
  plan: LoadPlan,
  options: PlanRequestsOptions,
): readonly PlannedRequest[] {
  return ACCOUNTS.flatMap((account, index) =>
    planAccount(plan, {
      account,
      random: new SeededRandom(options.seed * 101 + index),
      availabilityZones: options.availabilityZones,
    })
  ).sort((left, right) => left.at - right.at);
}

interface AccountOptions {
  readonly account: string;
  readonly random: RandomSource;
  readonly availabilityZones: readonly string[];
}

function planAccount(
  plan: LoadPlan,
  options: AccountOptions,
): readonly PlannedRequest[] {
  const { account, random } = options;
  const highest = highestFactor(plan, account);
  const rate = plan.requestsPerSecond * (ACCOUNT_SHARES[account] ?? 0) *
    highest;
  const end = plan.warmUpSeconds + plan.seconds;
  const requests: PlannedRequest[] = [];
  let seconds = 0;
  for (;;) {
    seconds -= Math.log(1 - random.next()) / rate;
    if (!(seconds < end)) return requests;
    const factor = factorAt(plan, account, seconds);
    if (random.next() * highest >= factor) continue;
    const number = requests.length;
    requests.push(planRequest(plan, { ...options, seconds, number }));
  }
}

function factorAt(plan: LoadPlan, account: string, seconds: number): number {
  return plan.factor?.(account, seconds - plan.warmUpSeconds) ?? 1;
}

function highestFactor(plan: LoadPlan, account: string): number {
  let highest = 0;
  const end = plan.warmUpSeconds + plan.seconds;
  for (let seconds = 0; seconds < end; seconds += FACTOR_STEP_SECONDS) {
    highest = Math.max(highest, factorAt(plan, account, seconds));
  }
  return highest;
}

function planRequest(
  plan: LoadPlan,
  options: AccountOptions & {
    readonly seconds: number;
    readonly number: number;
  },
): PlannedRequest {
  const { account, random, seconds, availabilityZones } = options;
  const token = `${account}.${options.number}`;
  const [least, most] = plan.tokens;
  const tokens = least + random.nextInteger(most - least + 1);
  const hasOnceStage = random.next() < plan.onceShare;
  const pipeline: ExperimentPipeline = hasOnceStage
    ? plan.oncePipeline ?? "booking"
    : plan.pipeline ?? "plan";
  const prefix = drawPrefix(plan, random);
  const input = `${prefix}When may lime be spread? token=${token} ` +
    `tokens=${tokens}`;
  const zone = availabilityZones[random.nextInteger(availabilityZones.length)];
  return {
    at: seconds * MILLISECONDS_PER_SECOND,
    isMeasured: seconds >= plan.warmUpSeconds,
    token,
    account,
    availabilityZone: zone ?? "",
    pipeline,
    input,
    deadlineMilliseconds: plan.deadlineMilliseconds,
    expectedText: expectAnswer(pipeline, { input, tokens }),
    hasOnceStage,
  };
}

function drawPrefix(plan: LoadPlan, random: RandomSource): string {
  if (plan.prefixes === undefined) return "";
  const { count, characters } = plan.prefixes;
  const name = `Rules of book ${random.nextInteger(count)}: `;
  return name.padEnd(characters - 1, "soil and lime ") + " ";
}
