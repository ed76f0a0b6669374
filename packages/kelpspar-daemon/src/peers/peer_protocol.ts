/** The path prefix of the peer API. */
export const PEER_PATH = "/peer";

/** The header that carries the daemons' shared secret. */
export const PEER_SECRET_HEADER = "x-kelpspar-peer-secret";
