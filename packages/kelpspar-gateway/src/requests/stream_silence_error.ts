/** This daemon closed a stream because nothing arrived for too long. */
export class StreamSilenceError extends Error {
  override readonly name = "StreamSilenceError";
  readonly milliseconds: number;

  constructor(milliseconds: number) {
    super(`Answer given up: nothing arrived for ${milliseconds} ms`);
    this.milliseconds = milliseconds;
  }
}
