import type { LoadReport, StageCall } from "kelpspar-shared";
import type { JsonRoute } from "../http/json_route.ts";
import type { RecordWriter } from "./record_writer.ts";

/** What runs behind an endpoint's HTTP front. */
export interface EndpointCore {
  /**
   * Takes a call, or refuses it by a record. Returns what to do when the
   * connection breaks.
   */
  call(call: StageCall, writer: RecordWriter): () => void;
  cancel(attemptId: string): void;
  load(): LoadReport;
  /** Refuses new calls; resolves when those it has are done. */
  leave(): Promise<void>;
  /** Stops every timer. */
  close(): void;
  /** Routes that only this kind of endpoint has. */
  readonly routes: readonly JsonRoute[];
}
