/** The path under which a daemon answers its peers. */
export const PEER_PATH = "/peer";

/** The header that carries the daemons' shared secret. */
export const PEER_SECRET_HEADER = "x-kelpspar-peer-secret";
