/**
 * Whether this daemon has a path to the servers of each service, judged by the connections that it opens itself. When
 * several servers of a service accept none, and none is established in between, the daemon is cut off; a server that is
 * down leaves others that accept. Kept connections show nothing: behind a cut they may hang, or live on while new ones are
 * refused.
 */

/** Servers that have to fail; all of a service that has fewer. */
const MIN_FAILED_SERVERS = 3;
/** Failures further apart than this are not taken together. */
const FAILURE_VALID_MS = 2_000;

interface ServicePath {
  /** Servers that accepted no connection since the last one that was established, with the time. */
  readonly failures: Map<string, number>;
  lostSinceMs: number | undefined;
}

/** A server that accepted no connection. */
export interface ConnectFailure {
  readonly service: string;
  readonly serverId: string;
  /** How many servers of the service are ready. */
  readonly readyServers: number;
}

/** The paths to all services. */
export class ServicePaths {
  readonly #byService = new Map<string, ServicePath>();

  /** Whether this daemon is cut off from the servers of a service. */
  isLost(service: string): boolean {
    return this.#byService.get(service)?.lostSinceMs !== undefined;
  }

  /** The services from whose servers this daemon is cut off. */
  get lost(): readonly string[] {
    return [...this.#byService.keys()].filter((service) => this.isLost(service));
  }

  /** Records a connection that was established. @returns for how long the path was lost until now, if it was */
  recordConnected(service: string, nowMs: number): number | undefined {
    const path = this.#byService.get(service);
    if (path === undefined) return undefined;
    this.#byService.delete(service);
    return path.lostSinceMs === undefined ? undefined : nowMs - path.lostSinceMs;
  }

  /** Records a server that accepted no connection. @returns whether this shows that the path is lost, for the first time */
  recordFailure({ service, serverId, readyServers }: ConnectFailure, nowMs: number): boolean {
    const path = this.#byService.get(service) ?? { failures: new Map(), lostSinceMs: undefined };
    this.#byService.set(service, path);
    for (const [id, atMs] of path.failures) {
      if (nowMs - atMs > FAILURE_VALID_MS) path.failures.delete(id);
    }
    path.failures.set(serverId, nowMs);
    const needed = Math.max(1, Math.min(MIN_FAILED_SERVERS, readyServers));
    if (path.lostSinceMs !== undefined || path.failures.size < needed) return false;
    path.lostSinceMs = nowMs;
    return true;
  }
}
