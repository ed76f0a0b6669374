import type { Dispatcher } from "undici";
import type { ProgressGuard } from "./progress_guard.ts";

type Handler = Dispatcher.DispatchHandler;
type Arguments<Name extends keyof Handler> = Parameters<
  NonNullable<Handler[Name]>
>;

const MINIMUM_FINAL_STATUS = 200;

/** Reports the progress of an answer to a guard and passes all events on. */
export class GuardedHandler implements Handler {
  readonly #handler: Handler;
  readonly #guard: ProgressGuard;

  constructor(handler: Handler, guard: ProgressGuard) {
    this.#handler = handler;
    this.#guard = guard;
  }

  onConnect(...values: Arguments<"onConnect">): void {
    this.#handler.onConnect?.(...values);
  }

  onUpgrade(...values: Arguments<"onUpgrade">): void {
    this.#handler.onUpgrade?.(...values);
  }

  onResponseStarted(): void {
    this.#handler.onResponseStarted?.();
  }

  onHeaders(...values: Arguments<"onHeaders">): boolean {
    const [status] = values;
    if (status < MINIMUM_FINAL_STATUS) this.#guard.recordInformational();
    else this.#guard.recordProgress();
    return this.#handler.onHeaders?.(...values) ?? true;
  }

  onData(chunk: Buffer): boolean {
    this.#guard.recordProgress();
    return this.#handler.onData?.(chunk) ?? true;
  }

  onComplete(...values: Arguments<"onComplete">): void {
    this.#handler.onComplete?.(...values);
  }

  onBodySent(...values: Arguments<"onBodySent">): void {
    this.#handler.onBodySent?.(...values);
  }

  onError(error: Error): void {
    this.#handler.onError?.(error);
  }
}
