import type { BodyLimitReason } from "kelpspar-http";
import { BodyLimitError } from "kelpspar-http";
import { StreamSilenceError } from "./stream_silence_error.ts";

/** Who ended an answer before it was whole, and why. */
export interface CutDescription {
  /** The daemon, if it closed the connection itself. */
  readonly endedBy: "daemon" | "endpoint";
  readonly cause: "silence" | "broken_off" | BodyLimitReason;
}

/** Describes the error of an answer that wasn't whole. */
export function describeCut(error: unknown): CutDescription {
  if (error instanceof StreamSilenceError) {
    return { endedBy: "daemon", cause: "silence" };
  }
  if (error instanceof BodyLimitError) {
    return { endedBy: "daemon", cause: error.reason };
  }
  return { endedBy: "endpoint", cause: "broken_off" };
}
