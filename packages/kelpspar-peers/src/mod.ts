export type { PeerConnection } from "./peer_connection.ts";
export type { PeerConnectionsOptions } from "./peer_connections.ts";
export type { PeerAnswer, PeerFetch, PeerRequest } from "./peer_fetch.ts";
export { PeerConnections } from "./peer_connections.ts";
