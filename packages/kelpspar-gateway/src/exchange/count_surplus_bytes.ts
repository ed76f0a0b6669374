/** The fields that Node.js adds to errors of its HTTP parser. */
interface ParserError extends Error {
  readonly bytesParsed?: number;
  /** The bytes of the read in which the error occurred. */
  readonly rawPacket?: Uint8Array;
}

/** Number of bytes of a read that the parser rejected; 0 for other errors. */
export function countSurplusBytes(error: ParserError): number {
  const { rawPacket, bytesParsed } = error;
  if (rawPacket === undefined || bytesParsed === undefined) return 0;
  return rawPacket.length - bytesParsed;
}
