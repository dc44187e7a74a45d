/** What a prompt or a run has to expect at an engine: waits, by all daemons' work there, and what speaks against it. */
import type { EngineChoiceInput } from './engine-choice-input.js';
import type { Urgency } from './engine-load.js';
import type { ServerRecord } from './server-directory.js';

const SUSPECT_COST_MS = 20_000;
const FAILURE_COST_MS = 400;
export const OTHER_ZONE_COST_MS = 4;

/** How long a prompt waits at an engine for those that are read before it. */
export function waitMs(server: ServerRecord, urgency: Urgency, input: EngineChoiceInput): number {
  const { nowMs, peerLoads } = input;
  const load = input.loadOf(server.id);
  const lateMs = urgency === 'late' ? load.pendingMs('late', nowMs) : 0;
  const knownMs =
    load.pendingMs('in-time', nowMs) + lateMs + peerLoads.waitMs(server.id, urgency, nowMs);
  return knownMs * input.waitFactor(urgency) + load.excessMs(nowMs);
}

/** How much faster than usual an engine reads and steps. */
export function paceAt(server: ServerRecord, input: EngineChoiceInput): number {
  return input.paceOf?.(server.id) ?? 1;
}

/** Runs of all daemons that were sent to an engine and have not ended. */
export function runsAt(server: ServerRecord, input: EngineChoiceInput): number {
  return input.loadOf(server.id).running + input.peerLoads.running(server.id, input.nowMs);
}

/**
 * How long a run waits for a slot: those beyond the slots go in as runs end.
 * @param runs those at the engine (`runsAt`)
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

/** A run takes a share of each step: the fuller the slots, the later the next token. */
export function runCostMs(server: ServerRecord, input: EngineChoiceInput): number {
  return input.speed.handOverMs / Math.max(1, server.slots);
}

/**
 * What the runs at an engine cost one more there.
 * @param runs those at the engine (`runsAt`)
 */
export function occupancyCostMs(
  server: ServerRecord,
  runs: number,
  input: EngineChoiceInput,
): number {
  return runs * runCostMs(server, input);
}

/** What speaks against an engine that failed, or owes an answer. */
export function healthCostMs(server: ServerRecord, input: EngineChoiceInput): number {
  const health = input.healthOf(server.id);
  const suspectMs = health.isSuspect(input.nowMs) ? SUSPECT_COST_MS : 0;
  return FAILURE_COST_MS * health.failureRate + suspectMs;
}

/** What a call to another zone takes. */
export function zoneCostMs(server: ServerRecord, input: EngineChoiceInput): number {
  return server.zone === input.zone ? 0 : OTHER_ZONE_COST_MS;
}
