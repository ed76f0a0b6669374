/** Formats `address:port` for a URL: IPv6 addresses are put in brackets. */
export function formatHost(address: string, port: number): string {
  const host = address.includes(":") ? `[${address}]` : address;
  return `${host}:${port}`;
}
