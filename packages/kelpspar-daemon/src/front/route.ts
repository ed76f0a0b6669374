import type { HttpExchange } from "./http_exchange.ts";

/** A method and path with their handler. */
export interface Route {
  readonly method: "GET" | "POST" | "DELETE";
  /** Path with named parameters, such as `/v1/requests/:requestId`. */
  readonly path: string;
  readonly handle: (exchange: HttpExchange) => Promise<void>;
}
