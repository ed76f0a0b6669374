/** `address:port` as URLs write it: IPv6 numbers stand in brackets. */
export function formatHost(address: string, port: number): string {
  const host = address.includes(":") ? `[${address}]` : address;
  return `${host}:${port}`;
}
