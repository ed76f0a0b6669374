import type { ListenerName } from "./listener_name.ts";

/** Descriptors of a process unless the settings say otherwise. */
export const DEFAULT_MAXIMUM_DESCRIPTORS = 4_100;
/** Descriptors that the platform keeps for files. */
const FILE_DESCRIPTORS = 200;
/** Share of small limits that is kept for files. */
const MAXIMUM_FILE_SHARE = 0.5;
/**
 * Share of the sockets for each listener. Each request at the front may need a
 * connection to an endpoint, so that as many are left for these; the rest is for
 * connections to the store and to other daemons.
 */
const SHARES: Readonly<Record<ListenerName, number>> = {
  front: 0.36,
  control: 0.12,
  directory: 0.04,
  ready: 0.01,
  metrics: 0.01,
};
/** Connections that each listener accepts however few descriptors there are. */
const MINIMUM_CONNECTIONS: Readonly<Record<ListenerName, number>> = {
  front: 16,
  control: 16,
  directory: 16,
  ready: 4,
  metrics: 4,
};

/** The number of connections that each listener may hold open. */
export function divideDescriptors(
  maximumDescriptors: number,
): Readonly<Record<ListenerName, number>> {
  const files = Math.min(
    FILE_DESCRIPTORS,
    maximumDescriptors * MAXIMUM_FILE_SHARE,
  );
  const sockets = maximumDescriptors - files;
  const limitOf = (listener: ListenerName): number =>
    Math.max(
      MINIMUM_CONNECTIONS[listener],
      Math.floor(sockets * SHARES[listener]),
    );
  return {
    front: limitOf("front"),
    control: limitOf("control"),
    directory: limitOf("directory"),
    ready: limitOf("ready"),
    metrics: limitOf("metrics"),
  };
}
