import type { StreamOrigin } from "./stream_origin.ts";

/** Whether one of the services has software of more than one version. */
export function hasSeveralVersions(
  software: readonly StreamOrigin[],
): boolean {
  const versions = new Map<string, string>();
  return software.some(({ service, version }) => {
    const other = versions.get(service);
    versions.set(service, version);
    return other !== undefined && other !== version;
  });
}
