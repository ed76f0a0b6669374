/** The platform's object store. Throws `object_unavailable`. */
export interface ObjectStore {
  put(name: string, content: string): Promise<void>;
  /** Null when there is no such object. */
  get(name: string): Promise<string | null>;
}
