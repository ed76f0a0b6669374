import type { LoadReport } from "../load/load_report.ts";
import type { EndpointEntry } from "./endpoint_entry.ts";

/** Notice that an endpoint attaches to a response, whatever the outcome. */
export type EndpointNotice =
  /** The endpoint is leaving and may exit at any moment. */
  | { readonly type: "leaving" }
  /** Retry-After: no calls from this daemon for this time. */
  | { readonly type: "pause"; readonly milliseconds: number }
  /** The endpoint stays cold for this time. */
  | { readonly type: "cold"; readonly milliseconds: number }
  /**
   * Requests per second that the endpoint accepts from all daemons together.
   */
  | { readonly type: "limit"; readonly perSecond: number }
  /** The endpoint reported no limit with work that it completed. */
  | { readonly type: "unlimited" }
  /**
   * The endpoint fails if it refuses more requests per second than this for
   * lack of capacity.
   */
  | { readonly type: "brittle"; readonly refusalsPerSecond: number }
  /** The report can't be parsed. */
  | { readonly type: "unreadable_brittle"; readonly text: string }
  /** The endpoint's load when it answered. */
  | { readonly type: "load"; readonly report: LoadReport }
  /** The load can't be parsed or is implausible. */
  | { readonly type: "unreadable_load"; readonly text: string }
  /** The limit can't be parsed. */
  | { readonly type: "unreadable_limit"; readonly text: string }
  /** The cold time can't be parsed. */
  | { readonly type: "unreadable_cold"; readonly text: string }
  /** The Retry-After value can't be parsed. */
  | { readonly type: "unreadable_pause"; readonly text: string };

/** The endpoint that sent a response. */
export type AnsweringEndpoint = Pick<EndpointEntry, "id"> & {
  /** The called incarnation; undefined when only the id is known. */
  readonly bornAt?: number | undefined;
};

/** Called for each notice. */
export type EndpointNoticeListener = (
  endpoint: AnsweringEndpoint,
  notice: EndpointNotice,
) => void;

/**
 * Event bus for notices in responses of any kind. All clients publish here, so
 * that no kind of call is left out.
 */
export class EndpointNotices {
  readonly #listeners = new Set<EndpointNoticeListener>();

  publish(endpoint: AnsweringEndpoint, notice: EndpointNotice): void {
    for (const listener of this.#listeners) listener(endpoint, notice);
  }

  registerListener(listener: EndpointNoticeListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
