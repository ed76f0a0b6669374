/** What became of a fleet that crowds called. */
export interface CrowdResult {
  /** The highest of all daemons, MiB. */
  readonly peakMb: number;
  /** The highest of all daemons. */
  readonly peakDescriptors: number;
  /** One line for each limit that wasn't kept. */
  readonly broken: readonly string[];
}
