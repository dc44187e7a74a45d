/**
 * Where a stream began: what the software of different versions writes does not fit together, so a stream goes on only at
 * servers of the service and software version that sent its first event.
 */
import type { ServerRecord } from './server-directory.js';

/** What of a server decides on its streams. */
export type StreamServer = Pick<ServerRecord, 'id' | 'service' | 'softwareVersion'>;

/** The service and software version that a stream began at. */
export interface StreamOrigin {
  readonly service: string;
  /** Empty for servers whose rows state none: they count as one version. */
  readonly softwareVersion: string;
}

/** The origin of streams that begin at a server. */
export function originAt(server: Pick<ServerRecord, 'service' | 'softwareVersion'>): StreamOrigin {
  return { service: server.service, softwareVersion: softwareVersionOf(server) };
}

export function isSameOrigin(one: StreamOrigin, other: StreamOrigin): boolean {
  return one.service === other.service && one.softwareVersion === other.softwareVersion;
}

/** Whether the KV memory of one server can be used by another of its service. */
export function isCompatible(one: ServerRecord, other: ServerRecord): boolean {
  return softwareVersionOf(one) === softwareVersionOf(other);
}

export function softwareVersionsOf(servers: readonly ServerRecord[]): ReadonlySet<string> {
  const versions = new Set<string>();
  let previous: string | undefined;
  for (const server of servers) {
    const version = softwareVersionOf(server);
    if (version !== previous) versions.add(version);
    previous = version;
  }
  return versions;
}

/** The software version of a server; empty if its row states none. */
export function softwareVersionOf(server: Pick<ServerRecord, 'softwareVersion'>): string {
  return server.softwareVersion ?? '';
}

/** The servers at which a stream may go on; all of them if it has not begun. */
export function serversForStream(
  servers: readonly ServerRecord[],
  origin: StreamOrigin | undefined,
): readonly ServerRecord[] {
  if (origin === undefined) return servers;
  return servers.filter((server) => isSameOrigin(originAt(server), origin));
}
