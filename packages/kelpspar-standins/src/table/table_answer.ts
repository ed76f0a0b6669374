/** The outcome of a call to the scripted table. */
export type TableAnswer<Value> =
  | { readonly kind: "answered"; readonly value: Value }
  | { readonly kind: "refused"; readonly reason: TableRefusal }
  /** The connection drops; a write may have taken effect. */
  | { readonly kind: "reset" }
  /** No response is sent; a write may have taken effect. */
  | { readonly kind: "hang" };

/** Why a call was refused; nothing was written. */
export type TableRefusal = "outage" | "rate" | "invalid";
