/**
 * Where streams that are not recorded may have begun: at any software version that servers of the services of their route
 * have, or had within the life of a stream. Where that is one version only, a stream needs no record.
 */
import type { Route } from './configuration.js';
import { RecentValues } from './recent-values.js';
import type { ServerRecord } from './server-directory.js';
import { type StreamOrigin, softwareVersionOf } from './stream-origin.js';

/** A caller makes a few attempts for a stream, each of at most the time-out of the route. */
const ATTEMPTS_OF_A_STREAM = 3;

/** What a daemon knows of where the streams of a route may have begun. */
export interface OriginView {
  readonly origins: readonly StreamOrigin[];
  /** Whether it reaches back for as long as any stream lives. */
  readonly isComplete: boolean;
}

/** Names a route alike at all daemons and in all configurations. */
export function routeKeyOf({ host, pathPrefix }: Pick<Route, 'host' | 'pathPrefix'>): string {
  return `${host.toLowerCase()} ${pathPrefix}`;
}

/** The longest time from the first event of a stream until its caller takes it up no more. */
export function streamLifeMs({ timeoutMs }: Pick<Route, 'timeoutMs'>): number {
  return ATTEMPTS_OF_A_STREAM * timeoutMs;
}

/** The longest life of the streams that a service may take up; 0 if it takes up none. */
export function maxStreamLifeMs(routes: readonly Route[], service: string): number {
  const resumable = routes.filter(
    ({ resumable, traffic }) => resumable && traffic.some((share) => share.service === service),
  );
  return Math.max(0, ...resumable.map(streamLifeMs));
}

/** The only origin of a view whose streams need no record; undefined otherwise. */
export function soleOrigin({ origins, isComplete }: OriginView): StreamOrigin | undefined {
  return isComplete && origins.length === 1 ? origins[0] : undefined;
}

/** The possible origins of the streams of each resumable route. */
export class PossibleOrigins {
  readonly #versionsOfService = new Map<string, RecentValues>();
  readonly #servicesOfRoute = new Map<string, RecentValues>();

  /** Takes in the list of servers. @returns whether a service has servers of one more version */
  observeServers(servers: Iterable<ServerRecord>, nowMs: number): boolean {
    const versions = new Map<string, Set<string>>();
    for (const service of this.#versionsOfService.keys()) versions.set(service, new Set());
    for (const server of servers) {
      const ofService = versions.get(server.service) ?? new Set();
      versions.set(server.service, ofService.add(softwareVersionOf(server)));
    }
    return observeAll(this.#versionsOfService, versions, nowMs);
  }

  /** Takes in the routes of a configuration. @returns whether a resumable route leads to one more service */
  observeRoutes(routes: readonly Route[], nowMs: number): boolean {
    const services = new Map<string, Set<string>>();
    for (const key of this.#servicesOfRoute.keys()) services.set(key, new Set());
    for (const route of routes.filter(({ resumable }) => resumable)) {
      const shares = route.traffic.filter(({ weight }) => weight > 0);
      services.set(routeKeyOf(route), new Set(shares.map(({ service }) => service)));
    }
    return observeAll(this.#servicesOfRoute, services, nowMs);
  }

  /** @param lifeMs how long a stream of the route may live */
  viewOf(routeKey: string, lifeMs: number, nowMs: number): OriginView {
    const services = this.#servicesOfRoute.get(routeKey);
    if (services === undefined) return { origins: [], isComplete: false };
    let isComplete = services.isKnownFor(lifeMs, nowMs);
    const origins: StreamOrigin[] = [];
    for (const service of services.within(lifeMs, nowMs)) {
      const versions = this.#versionsOfService.get(service);
      isComplete &&= versions?.isKnownFor(lifeMs, nowMs) === true;
      for (const softwareVersion of versions?.within(lifeMs, nowMs) ?? []) {
        origins.push({ service, softwareVersion });
      }
    }
    return { origins, isComplete };
  }
}

function observeAll(
  known: Map<string, RecentValues>,
  present: ReadonlyMap<string, ReadonlySet<string>>,
  nowMs: number,
): boolean {
  let isAdded = false;
  for (const [key, values] of present) {
    const recent = known.get(key) ?? new RecentValues();
    known.set(key, recent);
    isAdded = recent.observe(values, nowMs) || isAdded;
  }
  return isAdded;
}
