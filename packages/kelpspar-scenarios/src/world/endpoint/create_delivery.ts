import type { Network } from "../network/network.ts";

/** A connection from an endpoint to a daemon. */
export interface DeliveryOptions {
  readonly network: Network;
  readonly daemonId: string;
  readonly endpointId: string;
  /** False while messages on the connection are lost. */
  readonly canDeliver: () => boolean;
}

/** Delivers messages of a connection in order, until the first is lost. */
export function createDelivery(
  options: DeliveryOptions,
): (arrive: () => void) => void {
  const { network, daemonId, endpointId, canDeliver } = options;
  let isLost = false;
  let previousDelivery = Promise.resolve();
  return (arrive) => {
    const transit = network.waitForTransit(endpointId, daemonId);
    previousDelivery = Promise.all([previousDelivery, transit]).then(() => {
      if (!canDeliver()) isLost = true;
      if (!isLost) arrive();
    });
  };
}
