import type { EndpointEntry } from "./endpoint_entry.ts";

/** What an endpoint says of itself beside an answer, whatever the answer. */
export type EndpointNotice =
  /** It is leaving and may exit any moment. */
  | { readonly type: "leaving" }
  /** It sent Retry-After: no calls from this daemon for so long. */
  | { readonly type: "pause"; readonly milliseconds: number }
  /** It is cold for so long. */
  | { readonly type: "cold"; readonly milliseconds: number }
  /** It takes so many requests a second from all daemons together. */
  | { readonly type: "limit"; readonly perSecond: number }
  /** It names no limit beside work that it did. */
  | { readonly type: "unlimited" }
  /** It names a limit that can't be parsed. */
  | { readonly type: "unreadable_limit"; readonly text: string }
  /** What it says of being cold can't be parsed. */
  | { readonly type: "unreadable_cold"; readonly text: string }
  /** It sent a Retry-After that can't be parsed. */
  | { readonly type: "unreadable_pause"; readonly text: string };

/** The endpoint that an answer came from. */
export type AnsweringEndpoint = Pick<EndpointEntry, "id"> & {
  /** The life that was asked; undefined when only its id is known. */
  readonly bornAt?: number | undefined;
};

/** Told of each notice. */
export type EndpointNoticeListener = (
  endpoint: AnsweringEndpoint,
  notice: EndpointNotice,
) => void;

/**
 * Passes on what endpoints say of themselves in answers of any kind. One place
 * for all clients, so that no kind of call is left out.
 */
export class EndpointNotices {
  readonly #listeners = new Set<EndpointNoticeListener>();

  tell(endpoint: AnsweringEndpoint, notice: EndpointNotice): void {
    for (const listener of this.#listeners) listener(endpoint, notice);
  }

  registerListener(listener: EndpointNoticeListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
