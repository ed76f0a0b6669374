import type { RandomSource } from "kelpspar-shared";

/**
 * Largest random change of an expected time. Without it, all daemons choose the
 * first of endpoints of which they know nothing. More of it costs more than the
 * herding that is left, because each daemon knows its own calls.
 */
const JITTER_SHARE = 0.03;

/** How an endpoint is chosen by expected completion times. */
export type CompletionChoice =
  /** The lowest of all. */
  | "least"
  /** The lower of two random ones (power of two choices). */
  | "lower_of_two"
  /** The lowest of all after a random change of each. */
  | "jittered";

/** Inputs of `chooseByCompletion`. */
export interface ChooseByCompletionOptions<Candidate> {
  /** At least one. */
  readonly candidates: readonly Candidate[];
  /** Expected time until a request is completed there. */
  readonly completionOf: (candidate: Candidate) => number;
  readonly random: RandomSource;
}

type Chooser = <Candidate>(
  options: ChooseByCompletionOptions<Candidate>,
) => Candidate;

const CHOOSERS: Readonly<Record<CompletionChoice, Chooser>> = {
  least: chooseLeast,
  lower_of_two: chooseLowerOfTwo,
  jittered: chooseJittered,
};

/**
 * Chooses an endpoint by its expected completion time. Daemons that received the
 * same report would all choose the same endpoint and queue there (herding).
 */
export function chooseByCompletion<Candidate>(
  options: ChooseByCompletionOptions<Candidate>,
  choice: CompletionChoice = "jittered",
): Candidate {
  return CHOOSERS[choice](options);
}

function chooseLeast<Candidate>(
  { candidates, completionOf }: ChooseByCompletionOptions<Candidate>,
): Candidate {
  let best = candidates[0] as Candidate;
  let least = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const completion = completionOf(candidate);
    if (completion < least) [best, least] = [candidate, completion];
  }
  return best;
}

function chooseLowerOfTwo<Candidate>(
  options: ChooseByCompletionOptions<Candidate>,
): Candidate {
  const rest = [...options.candidates];
  const two = [rest, rest].flatMap((from) =>
    from.splice(options.random.nextInteger(from.length), 1)
  );
  return chooseLeast({ ...options, candidates: two });
}

function chooseJittered<Candidate>(
  options: ChooseByCompletionOptions<Candidate>,
): Candidate {
  const { completionOf, random } = options;
  return chooseLeast({
    ...options,
    completionOf: (candidate) =>
      completionOf(candidate) * (1 + JITTER_SHARE * random.next()),
  });
}
