import type { PlatformClientOptions } from "../http/platform_client_options.ts";
import type { VmList, VmListAnswer } from "./vm_list.ts";
import { KelpsparError, toKelpsparError } from "kelpspar-shared";
import { JsonHttpClient } from "../http/json_http_client.ts";

const STATUS_OK = 200;

/** A VM list client for the HTTP protocol in docs/PLATFORM.md. */
export class HttpVmList implements VmList {
  readonly #client: JsonHttpClient;

  constructor(options: PlatformClientOptions) {
    this.#client = new JsonHttpClient(options);
  }

  async list(): Promise<VmListAnswer> {
    try {
      const answer = await this.#client.exchange({
        method: "GET",
        path: "/v1/vms",
      });
      if (answer.status === STATUS_OK) return answer.body as VmListAnswer;
      throw new KelpsparError(
        "platform_refused",
        `Cannot list the VMs: the platform answered status ${answer.status}`,
      );
    } catch (error) {
      throw toKelpsparError(error, "table_unavailable");
    }
  }

  /** Closes every connection. */
  close(): Promise<void> {
    return this.#client.close();
  }
}
