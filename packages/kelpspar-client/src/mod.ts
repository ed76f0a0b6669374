export type { Answer } from "./answer/answer.ts";
export type { AssemblyState } from "./answer/answer_assembler.ts";
export type {
  KelpsparClientOptions,
  SubmitOptions,
} from "./kelpspar_client_options.ts";
export type { ClientRequest } from "./request/client_request.ts";
export { AnswerAssembler } from "./answer/answer_assembler.ts";
export { AnswerStream } from "./answer/answer_stream.ts";
export { KelpsparClient } from "./kelpspar_client.ts";
