import type { TimerService } from "./timer_service.ts";

/** The timer service of a running process; uses the monotonic clock. */
export class SystemTimer implements TimerService {
  now(): number {
    return performance.now();
  }

  wallClock(): number {
    return Date.now();
  }

  registerTimeout(listener: () => void, milliseconds: number): () => void {
    const handle = setTimeout(listener, Math.max(0, milliseconds));
    return () => clearTimeout(handle);
  }

  registerInterval(listener: () => void, milliseconds: number): () => void {
    const handle = setInterval(listener, Math.max(1, milliseconds));
    return () => clearInterval(handle);
  }
}
