/**
 * Judges, from probes of single routes, whether daemons apply a configuration version that is neither too old nor older
 * than one that they applied before. Pure.
 */
import type { ConfigurationVersion, RouteProbe, RunRecord } from './record.js';

/** Allowance for requests in transit when a change is acknowledged, and for slow scheduling on a loaded machine. */
const TRANSIT_MS = 500;
/** After a response under a version, a daemon may still send responses under an older version for this long. */
const ROLLBACK_SLACK_MS = 250;

/** A response under a configuration version that the daemon must no longer apply. */
export interface RouteFault {
  readonly atMs: number;
  readonly detail: string;
}

/** The lowest version that an incarnation of a daemon is known to have applied. */
interface SeenVersion {
  readonly version: number;
  readonly atMs: number;
}

/**
 * Reports daemons that are late although they are in contact with the store, and daemons that went back to an older
 * version, in contact or not.
 */
export function routeFaults(
  { probes, configurations, bounds }: Pick<RunRecord, 'probes' | 'configurations' | 'bounds'>,
  isInTouch: (daemon: string, fromMs: number, toMs: number) => boolean,
): readonly RouteFault[] {
  const seenOf = new Map<string, SeenVersion>();
  const ordered = [...probes].sort((left, right) => left.sentMs - right.sentMs);
  return ordered.flatMap((probe): readonly RouteFault[] => {
    const { daemon, incarnation, sentMs, endedMs } = probe;
    const written = configurations.filter(({ ackMs }) => ackMs <= endedMs);
    const consistent = written.filter((version) => isConsistent(version, probe));
    const settledMs = sentMs - bounds.configApplyMs - TRANSIT_MS;
    const least = written.filter(({ ackMs }) => ackMs <= settledMs).at(-1)?.version ?? 0;
    const isLate = !consistent.some(({ version }) => version >= least);
    if (isLate && isInTouch(daemon, sentMs, endedMs)) {
      return [faultOf(probe, `as only versions before ${least} allow`)];
    }
    const key = `${daemon} ${incarnation}`;
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
  { path, hasRoute }: RouteProbe,
): boolean {
  return addedRoutes.has(path) === hasRoute;
}

function faultOf({ daemon, path, hasRoute, sentMs }: RouteProbe, how: string): RouteFault {
  const observed = hasRoute ? 'served' : 'knew no route for';
  return { atMs: sentMs, detail: `${daemon} ${observed} ${path} ${how}` };
}
