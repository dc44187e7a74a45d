/** Judges whether daemons went by a version of the configuration that they may go by, from their word on single routes. Pure. */
import type { ConfigurationVersion, RouteProbe, RunRecord } from './record.js';

/** A request on the way when something is acknowledged, and the first look at it by a loaded machine. */
const TRANSIT_MS = 500;
/** A daemon that has answered by a version goes by no older one from so soon on. */
const ROLLBACK_SLACK_MS = 250;

/** A daemon that went by a version that it may not go by any more. */
export interface RouteFault {
  readonly atMs: number;
  readonly detail: string;
}

/** The least version that a life of a daemon was seen to go by. */
interface SeenVersion {
  readonly version: number;
  readonly atMs: number;
}

/** Daemons in touch that are late, and daemons that went back, in touch or not. */
export function routeFaults(
  { probes, configurations, bounds }: Pick<RunRecord, 'probes' | 'configurations' | 'bounds'>,
  isInTouch: (daemon: string, fromMs: number, toMs: number) => boolean,
): readonly RouteFault[] {
  const seenOf = new Map<string, SeenVersion>();
  const ordered = [...probes].sort((left, right) => left.sentMs - right.sentMs);
  return ordered.flatMap((probe): readonly RouteFault[] => {
    const { daemon, life, sentMs, endedMs } = probe;
    const written = configurations.filter(({ ackMs }) => ackMs <= endedMs);
    const consistent = written.filter((version) => isConsistent(version, probe));
    const settledMs = sentMs - bounds.configApplyMs - TRANSIT_MS;
    const least = written.filter(({ ackMs }) => ackMs <= settledMs).at(-1)?.version ?? 0;
    const isLate = !consistent.some(({ version }) => version >= least);
    if (isLate && isInTouch(daemon, sentMs, endedMs)) {
      return [faultOf(probe, `as only versions before ${least} allow`)];
    }
    const key = `${daemon} ${life}`;
    const seen = seenOf.get(key);
    const seenVersion =
      seen === undefined || seen.atMs > sentMs - ROLLBACK_SLACK_MS ? 0 : seen.version;
    const oldest = consistent.find(({ version }) => version >= seenVersion);
    if (oldest === undefined) {
      return [faultOf(probe, `having gone by version ${seenVersion} or newer before`)];
    }
    if (oldest.version > (seen?.version ?? 0)) {
      seenOf.set(key, { version: oldest.version, atMs: endedMs });
    }
    return [];
  });
}

function isConsistent(
  { addedRoutes }: ConfigurationVersion,
  { path, isThere }: RouteProbe,
): boolean {
  return addedRoutes.has(path) === isThere;
}

function faultOf({ daemon, path, isThere, sentMs }: RouteProbe, how: string): RouteFault {
  const observed = isThere ? 'served' : 'knew no route for';
  return { atMs: sentMs, detail: `${daemon} ${observed} ${path} ${how}` };
}
