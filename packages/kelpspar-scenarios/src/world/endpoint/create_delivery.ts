import type { Network } from "../network/network.ts";

/** The way of one connection from an endpoint to a daemon. */
export interface DeliveryOptions {
  readonly network: Network;
  readonly daemonId: string;
  readonly endpointId: string;
  /** False while or once the connection carries nothing. */
  readonly canDeliver: () => boolean;
}

/** Carries what is sent over one connection, in order, until it is lost. */
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
