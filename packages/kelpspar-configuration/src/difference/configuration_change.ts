/** One difference between two configurations. */
export interface ConfigurationChange {
  /**
   * Where, such as `pipelines[spread-plan].stages[draft].model`: elements that
   * have an id are named by it, since their place may differ.
   */
  readonly path: string;
  /** `reordered` gives the ids of a list in their order. */
  readonly kind: "added" | "removed" | "changed" | "reordered";
  /** Absent when added. */
  readonly before?: unknown;
  /** Absent when removed. */
  readonly after?: unknown;
}
