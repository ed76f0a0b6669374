export type {
  MergeMembersOptions,
  RecordedMember,
  SeenMember,
} from "./member_record.ts";
export { mergeMembers } from "./member_record.ts";
