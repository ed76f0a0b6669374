/** A route of a site's configuration besides those that every site has. */
export interface WireRouteOptions {
  /** Also the prefix of its paths. */
  readonly name: string;
  readonly kind: "idempotent" | "non_idempotent" | "streaming";
  readonly service: string;
  readonly attempts: number;
  readonly isResumable: boolean;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly objectiveMilliseconds: number;
  readonly stages: readonly {
    readonly service: string;
    /** Numbers of the stages whose results it reads. */
    readonly after: readonly number[];
  }[];
}
