import type { PlatformClientOptions } from "../http/platform_client_options.ts";
import type { WeightGrant, WeightStore } from "./weight_store.ts";
import { toKelpsparError } from "kelpspar-shared";
import { JsonHttpClient } from "../http/json_http_client.ts";

/** A weight store client for the HTTP protocol in docs/PLATFORM.md. */
export class HttpWeightStore implements WeightStore {
  readonly #client: JsonHttpClient;

  constructor(options: PlatformClientOptions) {
    this.#client = new JsonHttpClient(options);
  }

  async requestLoad(model: string, version: string): Promise<WeightGrant> {
    try {
      const answer = await this.#client.exchange({
        method: "POST",
        path: "/v1/loads",
        body: { model, version },
      });
      return answer.body as WeightGrant;
    } catch (error) {
      throw toKelpsparError(error, "object_unavailable");
    }
  }

  /** Closes every connection. */
  close(): Promise<void> {
    return this.#client.close();
  }
}
