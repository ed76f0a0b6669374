import type { PeerAddress } from "./peer_client.ts";

/** Reads `address:port`; the address may itself hold colons. */
export function parsePeerAddress(text: string): PeerAddress {
  const colon = text.lastIndexOf(":");
  return { address: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}
