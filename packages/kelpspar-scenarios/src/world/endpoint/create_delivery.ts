import type { Network } from "../network/network.ts";

/** The way of one connection from an endpoint to a daemon. */
export interface DeliveryOptions {
  readonly network: Network;
  readonly daemonId: string;
  readonly endpointId: string;
  /** False while or once the connection carries nothing. */
  readonly carries: () => boolean;
}

/** Carries what is sent over one connection, in order, until it is lost. */
export function createDelivery(
  options: DeliveryOptions,
): (arrive: () => void) => void {
  const { network, daemonId, endpointId, carries } = options;
  let isLost = false;
  let last = Promise.resolve();
  return (arrive) => {
    const travelled = network.travel(endpointId, daemonId);
    last = Promise.all([last, travelled]).then(() => {
      if (!carries()) isLost = true;
      if (!isLost) arrive();
    });
  };
}
