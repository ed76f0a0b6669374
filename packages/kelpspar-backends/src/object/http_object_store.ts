import type { ObjectStore } from "./object_store.ts";
import type { PlatformClientOptions } from "../http/platform_client_options.ts";
import { KelpsparError, toKelpsparError } from "kelpspar-shared";
import { JsonHttpClient } from "../http/json_http_client.ts";

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;

/** An object store client for the HTTP protocol in docs/PLATFORM.md. */
export class HttpObjectStore implements ObjectStore {
  readonly #client: JsonHttpClient;

  constructor(options: PlatformClientOptions) {
    this.#client = new JsonHttpClient(options);
  }

  async put(name: string, content: string): Promise<void> {
    const answer = await this.#exchange("PUT", name, { content });
    if (answer.status !== STATUS_OK) throw refused(name, answer.status);
  }

  async get(name: string): Promise<string | null> {
    const answer = await this.#exchange("GET", name);
    if (answer.status === STATUS_NOT_FOUND) return null;
    if (answer.status !== STATUS_OK) throw refused(name, answer.status);
    return (answer.body as { readonly content: string }).content;
  }

  /** Closes every connection. */
  close(): Promise<void> {
    return this.#client.close();
  }

  async #exchange(
    method: "GET" | "PUT",
    name: string,
    body?: unknown,
  ): Promise<{ readonly status: number; readonly body: unknown }> {
    const path = `/v1/objects/${encodeURIComponent(name)}`;
    try {
      return await this.#client.exchange({ method, path, body });
    } catch (error) {
      throw toKelpsparError(error, "object_unavailable");
    }
  }
}

function refused(name: string, status: number): KelpsparError {
  return new KelpsparError(
    "object_unavailable",
    `Cannot use object "${name}": the object store answered status ${status}`,
  );
}
