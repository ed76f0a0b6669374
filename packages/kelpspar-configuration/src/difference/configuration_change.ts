/** One difference between two configurations. */
export interface ConfigurationChange {
  /**
   * The path, such as `pipelines[spread-plan].stages[draft].model`. Elements
   * that have an id are identified by it, since their index may differ.
   */
  readonly path: string;
  /** For `reordered`, `before` and `after` are the ids of the list in order. */
  readonly kind: "added" | "removed" | "changed" | "reordered";
  /** Absent if `kind` is `added`. */
  readonly before?: unknown;
  /** Absent if `kind` is `removed`. */
  readonly after?: unknown;
}
