/** The source that marked an endpoint or a daemon as leaving. */
export type LeavingSource =
  | "vm_list"
  | "drain"
  | "report"
  | "record"
  | "refusals";
