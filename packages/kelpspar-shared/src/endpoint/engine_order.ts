import type { EndpointRole } from "./load_report.ts";

/** The state that an order requests; makes orders idempotent. */
export interface DesiredEngineState {
  /** Models to load, with their version. */
  readonly models: Readonly<Record<string, string>>;
  readonly adapters: readonly string[];
  readonly role: EndpointRole;
}

/** An order to a model engine: the body of `POST /v1/orders`. */
export interface EngineOrder {
  /** The group whose lease the sender holds. */
  readonly group: string;
  /** Increases with each holder of the group's lease. */
  readonly fencingNumber: number;
  readonly desired: DesiredEngineState;
}
