/**
 * Turns an engine's report into a digest and back. What seldom changes is sent only to daemons that
 * do not have it; numbers are rounded to what routing can use.
 */
import type { Milliseconds } from '../common/time.js';
import { type EngineDigest, type EngineInventory, hash32 } from '../peer/index.js';
import type { EngineLoad, EngineReport } from '../registry/backend.js';
import type { DirectReport, KnownInventory } from './state.js';

const KV_USED_STEPS = 1_000;

function inventoryOf(report: EngineReport): EngineInventory {
  const { boot, role, models, fence, lastOrder, maxBatch } = report;
  return { boot, role, models, fence, lastOrder, maxBatch };
}

/** Equal for equal inventories. */
export function revisionOf(report: EngineReport): number {
  return hash32(JSON.stringify(inventoryOf(report)));
}

/** The digest of a report for a daemon that has the inventory of the given revision. */
export function condense(
  { report, revision }: DirectReport,
  ageMs: Milliseconds,
  theirRevision: number | null,
): EngineDigest {
  const { engine, intake, busy, leaving, activeRequests, load } = report;
  return {
    engine,
    intake,
    busy,
    leaving,
    activeRequests,
    load: roundLoad(load),
    revision,
    inventory: theirRevision === revision ? null : inventoryOf(report),
    // Rounded up: an older report gives a shorter grant.
    ageMs: Math.ceil(ageMs),
  };
}

function roundLoad(load: EngineLoad): EngineLoad {
  return {
    ageMs: Math.ceil(load.ageMs),
    running: load.running,
    queued: load.queued,
    queuedPrefillTokens: Math.round(load.queuedPrefillTokens),
    kvUsed: Math.round(load.kvUsed * KV_USED_STEPS) / KV_USED_STEPS,
    prefillTokensPerSecond: Math.round(load.prefillTokensPerSecond),
    decodeStepMs: Math.round(load.decodeStepMs * 10) / 10,
  };
}

/** The report that a digest stands for; null when its inventory is not known here. */
export function expand(
  digest: EngineDigest,
  known: KnownInventory | undefined,
): EngineReport | null {
  const inventory =
    digest.inventory ?? (known?.revision === digest.revision ? known.inventory : null);
  if (inventory === null) {
    return null;
  }
  const { engine, intake, busy, leaving, activeRequests, load } = digest;
  return { engine, intake, busy, leaving, activeRequests, load, ...inventory };
}
