import type { CrashingParts } from "kelpspar-decisions/quarantine";
import { createHash } from "node:crypto";

const MAXIMUM_KEY_CHARACTERS = 120;

/** A request, or parts of prompts, that must not be sent to endpoints. */
export type QuarantinedSubject =
  | { readonly type: "request"; readonly fingerprint: string }
  | ({ readonly type: "parts" } & CrashingParts);

/** A request as far as the quarantine is concerned. */
export interface QuarantinableRequest {
  readonly fingerprint: string;
  /** Ids of the prompt's parts that other requests may share. */
  readonly parts: readonly string[];
}

/** Identifies a subject in the store, whose keys are of limited length. */
export function subjectKey(subject: QuarantinedSubject): string {
  if (subject.type === "request") return subject.fingerprint;
  const ids = subject.parts.join("+");
  return ids.length <= MAXIMUM_KEY_CHARACTERS
    ? `parts ${ids}`
    : `parts ${createHash("sha256").update(ids).digest("hex")}`;
}

/** Whether the subject keeps a request from being sent. */
export function appliesTo(
  subject: QuarantinedSubject,
  { fingerprint, parts }: QuarantinableRequest,
): boolean {
  return subject.type === "request"
    ? subject.fingerprint === fingerprint
    : subject.parts.every((part) => parts.includes(part));
}
