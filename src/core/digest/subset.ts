/**
 * Which engines a daemon uses. In a small fleet all; in one that is split by zone a window of its
 * own zone's engines. Daemons and engines are ordered round a ring by hash, and each daemon takes a
 * window that starts at its own share of the ring: every engine is used by almost the same number
 * of daemons, and when a daemon comes or goes the windows of the others shift by little.
 */
import type { BackendName, DaemonName } from '../common/identifiers.js';
import { hash32 } from '../peer/index.js';
import { type EngineMachine, poolOf } from '../registry/backend.js';
import { SUBSET_SIZE } from './settings.js';

/** The engines that a daemon uses, of those in its zone. */
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
