/** HTTP path at which daemons accept relayed requests from each other. */
export const RELAY_PATH = "/relay";
