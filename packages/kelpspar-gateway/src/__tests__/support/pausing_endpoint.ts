import type { ReceivedAnswer } from "../../requests/send_result.ts";
import type { ScriptedAnswer } from "./request_world.ts";
import { Readable } from "node:stream";

/** An endpoint that answers with a stream that the test writes. */
export class PausingEndpoint {
  readonly #body = new Readable({ read: () => {} });

  get isClosed(): boolean {
    return this.#body.destroyed;
  }

  readonly answer: ScriptedAnswer = () => this.receive();

  receive(): ReceivedAnswer {
    return {
      type: "answered",
      status: 200,
      headers: [],
      framing: "chunked",
      body: this.#body,
      close: () => void this.#body.destroy(),
    };
  }

  write(text: string): void {
    this.#body.push(text);
  }

  end(): void {
    this.#body.push(null);
  }

  /** Ends the connection before the stream is whole. */
  breakOff(): void {
    this.#body.destroy(new Error("connection reset"));
  }
}

/** An endpoint that doesn't answer until the call is given up. */
export const silentEndpoint: ScriptedAnswer = ({ signal }) =>
  new Promise((resolve) => {
    signal.addEventListener(
      "abort",
      () => resolve({ type: "unknown", reason: "aborted" }),
    );
  });
