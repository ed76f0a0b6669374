import type { EndpointRole } from "./load_report.ts";

/** The state an engine is ordered into; orders are idempotent by it. */
export interface DesiredEngineState {
  /** Models to have loaded, with their version. */
  readonly models: Readonly<Record<string, string>>;
  readonly adapters: readonly string[];
  readonly role: EndpointRole;
}

/** An order to a model engine: the body of `POST /v1/orders`. */
export interface EngineOrder {
  /** The group whose lease the sender holds. */
  readonly group: string;
  /** Grows with each holder of the group's lease. */
  readonly fencingNumber: number;
  readonly desired: DesiredEngineState;
}
