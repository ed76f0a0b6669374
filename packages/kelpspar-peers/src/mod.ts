export type { PeerConnection } from "./peer_connection.ts";
export type { PeerConnectionsOptions } from "./peer_connections.ts";
export type { PeerLinkOptions } from "./peer_link.ts";
export type { PeerAnswer, PeerFetch, PeerRequest } from "./peer_fetch.ts";
export type { RouterListenerOptions } from "./router_listener.ts";
export { PeerConnections } from "./peer_connections.ts";
export { createPeerFetch } from "./peer_fetch.ts";
export { createPeerLink } from "./peer_link.ts";
export { createRouterListener } from "./router_listener.ts";
