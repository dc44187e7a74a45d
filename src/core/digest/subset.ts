/**
 * The subset of its zone's engines that a daemon uses in a fleet that is split by zone; in a small
 * fleet a daemon uses all engines. Daemons and engines are each ordered on a ring by hash. A
 * daemon's window of engines starts at the fraction of the engine ring that corresponds to its own
 * position on the daemon ring. Every engine is thus used by almost the same number of daemons, and
 * when a daemon joins or leaves, the windows of the others shift only a little.
 */
import type { BackendName, DaemonName } from '../common/identifiers.js';
import { hash32 } from '../peer/index.js';
import { type EngineMachine, poolOf } from '../registry/backend.js';
import { SUBSET_SIZE } from './settings.js';

/** The engines that a daemon uses, out of those in its zone. */
export function usedEngines(
  daemon: DaemonName,
  zoneDaemons: readonly DaemonName[],
  zoneEngines: readonly EngineMachine[],
): ReadonlySet<BackendName> {
  const ring = byHash(zoneDaemons);
  const position = Math.max(0, ring.indexOf(daemon)) / Math.max(1, ring.length);
  const used = new Set<BackendName>();
  for (const engines of byPool(zoneEngines).values()) {
    for (const engine of windowAt(byHash(engines), position)) {
      used.add(engine);
    }
  }
  return used;
}

function windowAt(ring: readonly BackendName[], position: number): readonly BackendName[] {
  const start = Math.floor(position * ring.length);
  const doubled = [...ring, ...ring];
  return doubled.slice(start, start + Math.min(SUBSET_SIZE, ring.length));
}

function byPool(engines: readonly EngineMachine[]): ReadonlyMap<string, BackendName[]> {
  const pools = new Map<string, BackendName[]>();
  for (const engine of engines) {
    const pool = pools.get(poolOf(engine)) ?? [];
    pool.push(engine.name);
    pools.set(poolOf(engine), pool);
  }
  return pools;
}

function byHash(names: readonly string[]): readonly string[] {
  return names
    .map((name) => ({ name, hash: hash32(`ring ${name}`) }))
    .sort((one, other) => one.hash - other.hash || (one.name < other.name ? -1 : 1))
    .map((entry) => entry.name);
}
