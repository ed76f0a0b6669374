/** Why a request or piece is sent to an endpoint again. */
export type RetryCause =
  /** The endpoint failed, or its answer was lost. */
  | "failed"
  /** The endpoint refused to run it. */
  | "rejected"
  /** The endpoint hasn't answered in the expected time. */
  | "hedge"
  /** Its result, or the daemon that ran its chain, is gone. */
  | "restart";
