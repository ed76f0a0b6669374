const MINIMUM_STATUS = 200;
const MAXIMUM_STATUS = 599;

/** Whether a final answer may have this status. Node's parser takes any number. */
export function isFinalStatus(status: number): boolean {
  return status >= MINIMUM_STATUS && status <= MAXIMUM_STATUS;
}
