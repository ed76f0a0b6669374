import type { Agent } from "undici";

/** The connections to one peer, and the client that calls over them. */
export interface PeerConnection<Client> {
  readonly client: Client;
  readonly agent: Agent;
}
