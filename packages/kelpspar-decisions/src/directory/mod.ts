export type { AddressAnswerOptions } from "./address_answer.ts";
export type { DirectoryEntry } from "./directory_entry.ts";
export type { Redirect, RedirectOptions } from "./redirect.ts";
export { buildAddressAnswer } from "./address_answer.ts";
export { redirectCaller } from "./redirect.ts";
