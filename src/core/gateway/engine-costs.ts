/** Costs of sending work to an engine, in milliseconds: waits for the work of all daemons, and penalties. */
import type { EngineChoiceInput } from './engine-choice-input.js';
import type { Urgency } from './engine-load.js';
import type { ServerRecord } from './server-directory.js';

const SUSPECT_COST_MS = 20_000;
const FAILURE_COST_MS = 400;
export const OTHER_ZONE_COST_MS = 4;

/** How long a prompt waits at an engine for the prompts that are read before it. */
export function waitMs(server: ServerRecord, urgency: Urgency, input: EngineChoiceInput): number {
  const { nowMs, peerLoads } = input;
  const load = input.loadOf(server.id);
  const lateMs = urgency === 'late' ? load.pendingMs('late', nowMs) : 0;
  const knownMs =
    load.pendingMs('in-time', nowMs) + lateMs + peerLoads.waitMs(server.id, urgency, nowMs);
  return knownMs * input.waitFactor(urgency) + load.excessMs(nowMs);
}

/** An engine's pace relative to the fleet's typical one, for reading prompts and for decode steps. */
export function paceAt(server: ServerRecord, input: EngineChoiceInput): number {
  return input.paceOf?.(server.id) ?? 1;
}

/** Unfinished runs at an engine, from all daemons. */
export function runsAt(server: ServerRecord, input: EngineChoiceInput): number {
  return input.loadOf(server.id).running + input.peerLoads.running(server.id, input.nowMs);
}

/**
 * How long a new run waits for a slot: runs in excess of the slots start as others end.
 * @param runs unfinished runs at the engine (`runsAt`)
 */
export function slotWaitMs(
  server: ServerRecord,
  runs: number,
  pace: number,
  input: EngineChoiceInput,
): number {
  const slots = Math.max(1, server.slots);
  const waiting = Math.max(0, runs + 1 - slots);
  return (waiting * input.speed.runMs) / slots / pace;
}

/** Delay that one run adds for every other run at a decode engine: each takes a share of each decode step. */
export function runCostMs(server: ServerRecord, input: EngineChoiceInput): number {
  return input.speed.handOverMs / Math.max(1, server.slots);
}

/**
 * Delay that the runs at an engine add to one more run there.
 * @param runs unfinished runs at the engine (`runsAt`)
 */
export function occupancyCostMs(
  server: ServerRecord,
  runs: number,
  input: EngineChoiceInput,
): number {
  return runs * runCostMs(server, input);
}

/** Penalty for an engine that failed recently or has an overdue answer. */
export function healthCostMs(server: ServerRecord, input: EngineChoiceInput): number {
  const health = input.healthOf(server.id);
  const suspectMs = health.isSuspect(input.nowMs) ? SUSPECT_COST_MS : 0;
  return FAILURE_COST_MS * health.failureRate + suspectMs;
}

/** Extra latency of a call to another zone. */
export function zoneCostMs(server: ServerRecord, input: EngineChoiceInput): number {
  return server.zone === input.zone ? 0 : OTHER_ZONE_COST_MS;
}
