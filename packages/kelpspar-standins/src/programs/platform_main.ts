import type { PlatformSettings } from "../platform/platform_settings.ts";
import { SystemTimer } from "kelpspar-shared";
import { startPlatform } from "../platform/start_platform.ts";
import { printListening, readSettings } from "./read_settings.ts";

const platform = await startPlatform(readSettings() as PlatformSettings, {
  timer: new SystemTimer(),
});
process.once("SIGTERM", () => {
  void platform.close().then(() => process.exit(0));
});
printListening(platform.ports);
