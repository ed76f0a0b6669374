import type { LoadReport, StageCall } from "kelpspar-shared";
import type { JsonRoute } from "../http/json_route.ts";
import type { RecordWriter } from "./record_writer.ts";

/** The service behind an endpoint's HTTP routes. */
export interface EndpointCore {
  /**
   * Accepts a call, or refuses it with a failure record. Returns the handler
   * to call when the connection breaks.
   */
  call(call: StageCall, writer: RecordWriter): () => void;
  cancel(attemptId: string): void;
  load(): LoadReport;
  /** Refuses new calls; resolves when all accepted calls are done. */
  leave(): Promise<void>;
  /** Stops all timers. */
  close(): void;
  /** Routes specific to this kind of endpoint. */
  readonly routes: readonly JsonRoute[];
}
