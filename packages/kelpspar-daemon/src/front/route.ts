import type { HttpExchange } from "./http_exchange.ts";

/** A method and path, and what answers them. */
export interface Route {
  readonly method: "GET" | "POST" | "DELETE";
  /** Path with named parts, such as `/v1/requests/:requestId`. */
  readonly path: string;
  readonly handle: (exchange: HttpExchange) => Promise<void>;
}
