/**
 * The failures, by the tag of the scenarios that contain them.
 *
 * Source: the brief, "What fails".
 */
export const FAILURES: Readonly<Record<string, string>> = {
  "stage-fails": "A stage slows down or fails outright",
  "burst": "Traffic arrives in a burst",
  "process-dies": "A process dies without warning",
  "store-down": "The platform's store is down or slow",
  "answer-lost": "A write takes effect and its answer never comes back",
  "pause": "A process is paused and acts on old beliefs",
  "operators-race": "Operators race one another or act in the middle of it",
  "silent-connections":
    "Open connections go silent for good while new ones work",
  "network-cut": "Nothing passes between two parties for a while",
};

/** Pairs of an invariant and a failure that cannot affect it, and why. */
export const INAPPLICABLE_PAIRS: Readonly<Record<string, string>> = {
  "accepted_configuration stage-fails":
    "No stage lies on the way of a change of the configuration",
};
