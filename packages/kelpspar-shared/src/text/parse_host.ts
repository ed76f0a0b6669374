/** A host and a port. */
export interface HostAddress {
  readonly address: string;
  readonly port: number;
}

/** Parses `address:port`; the address itself may contain colons. */
export function parseHost(text: string): HostAddress {
  const colon = text.lastIndexOf(":");
  return { address: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}
