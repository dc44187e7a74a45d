/** Reading the store: soon after the start, then rarely, and less often while it fails. */
import { CONFIGURATION_EVENTS } from '../logging/catalogue/configuration.js';
import { log } from '../logging/log-event.js';
import type { ObjectResult } from '../platform/object.js';
import type { TableResult } from '../platform/table.js';
import {
  FIRST_READ_SPREAD_MS,
  FLEET_READ_INTERVAL_MS,
  MAX_FIRST_READ_DELAY_MS,
  MAX_READ_BACKOFF_MS,
  MIN_CATCH_UP_INTERVAL_MS,
  MIN_READ_INTERVAL_MS,
  STORE_RETRY_MS,
} from './constants.js';
import { bringIntoForce, inForceVersion, otherMembers, recordKnownVersion } from './in-force.js';
import { CURRENT_KEY, parseCurrentRow, parseDocument } from './row.js';
import type { ConfigurationStep } from './state.js';

/** Starts a read when it is time. */
export function continueReading(step: ConfigurationStep): void {
  if (step.state.nextReadAt === null) {
    step.updateState({ nextReadAt: step.now + firstDelay(step) });
  }
  putOffFirstRead(step);
  hastenReadWhenBehind(step);
  if (step.state.read !== null || step.now < (step.state.nextReadAt ?? 0)) {
    return;
  }
  const token = step.callTable({ kind: 'get', keys: [CURRENT_KEY] });
  step.updateState({ read: { token, objectVersion: null } });
}

/** A daemon that got its configuration from another one before its first read need not hurry. */
function putOffFirstRead(step: ConfigurationStep): void {
  const { inForce, firstReadDone, ready } = step.state;
  if (inForce !== null && !firstReadDone) {
    step.updateState({ firstReadDone: true });
    if (ready && step.state.read === null) {
      step.updateState({ nextReadAt: step.now + secondDelay(step) });
    }
  }
}

/** A version is known of that no reachable daemon holds: the store must have it. */
function hastenReadWhenBehind(step: ConfigurationStep): void {
  const { highestVersion, holders, pull, read, failedReads, readEndedAt } = step.state;
  const isBehind = highestVersion > inForceVersion(step);
  if (!isBehind || holders.size > 0 || pull !== null || read !== null || failedReads > 0) {
    return;
  }
  const pause = Math.max(MIN_CATCH_UP_INTERVAL_MS, FIRST_READ_SPREAD_MS * fleetSize(step));
  const due = readEndedAt + pause;
  if (due < (step.state.nextReadAt ?? Number.POSITIVE_INFINITY)) {
    step.updateState({ nextReadAt: due });
  }
}

/** Reads the store at the next tick. */
export function scheduleImmediateRead(step: ConfigurationStep): void {
  step.updateState({ nextReadAt: step.now });
}

/** Spread over a whole interval, so that daemons that started at once don't read at once. */
function secondDelay(step: ConfigurationStep): number {
  return step.random.below(regularInterval(step));
}

/** The larger the fleet, the less often each daemon reads. */
function regularInterval(step: ConfigurationStep): number {
  return Math.max(MIN_READ_INTERVAL_MS, FLEET_READ_INTERVAL_MS * fleetSize(step));
}

function fleetSize(step: ConfigurationStep): number {
  return Math.max(step.membership.listed.length, otherMembers(step).length) + 1;
}

/** All daemons may start at once: the larger the fleet, the longer the first reads are spread. */
function firstDelay(step: ConfigurationStep): number {
  const spread = Math.min(MAX_FIRST_READ_DELAY_MS, FIRST_READ_SPREAD_MS * fleetSize(step));
  return step.random.below(spread + 1);
}

/** Takes in the row. */
export function receiveRead(step: ConfigurationStep, result: TableResult): void {
  if (result.kind !== 'rows') {
    failRead(step, result.kind === 'unavailable' ? result.retryAfterMs : 0);
    return;
  }
  const parsed = parseCurrentRow(result.rows.find((row) => row.key === CURRENT_KEY));
  if (parsed.isErr()) {
    step.effects.push(log(CONFIGURATION_EVENTS.unusable, { version: null, problem: parsed.error }));
    failRead(step, 0);
    return;
  }
  const row = parsed.value;
  recordKnownVersion(step, row.version);
  if (row.version < inForceVersion(step)) {
    const fields = { stored: row.version, inForce: inForceVersion(step) };
    step.effects.push(log(CONFIGURATION_EVENTS.storeIsBehind, fields));
  }
  if (row.kind === 'object' && row.version > inForceVersion(step)) {
    const token = step.callObject({ kind: 'get', name: row.object });
    step.updateState({ read: { token, objectVersion: row.version } });
    return;
  }
  if (row.kind === 'inline') {
    bringIntoForce(step, row, 'store');
  }
  finishRead(step);
}

/** Takes in a large document. */
export function receiveObject(
  step: ConfigurationStep,
  version: number,
  result: ObjectResult,
): void {
  if (result.kind !== 'content') {
    failRead(step, result.kind === 'unavailable' ? result.retryAfterMs : 0);
    return;
  }
  const parsed = parseDocument(result.content);
  if (parsed.isErr()) {
    step.effects.push(log(CONFIGURATION_EVENTS.unusable, { version, problem: parsed.error }));
    failRead(step, 0);
    return;
  }
  bringIntoForce(step, { version, document: parsed.value }, 'store');
  finishRead(step);
}

function finishRead(step: ConfigurationStep): void {
  const isFirst = !step.state.firstReadDone;
  const pause = isFirst ? secondDelay(step) : jittered(step, regularInterval(step));
  const nextReadAt = step.now + pause;
  step.updateState({
    read: null,
    failedReads: 0,
    firstReadDone: true,
    nextReadAt,
    readEndedAt: step.now,
  });
}

function failRead(step: ConfigurationStep, retryAfterMs: number): void {
  const { failedReads } = step.state;
  const backoff = Math.min(MAX_READ_BACKOFF_MS, STORE_RETRY_MS * 2 ** failedReads);
  const pause = Math.max(retryAfterMs, jittered(step, backoff));
  step.updateState({ read: null, failedReads: failedReads + 1, nextReadAt: step.now + pause });
  if (failedReads === 0) {
    step.effects.push(log(CONFIGURATION_EVENTS.storeUnreadable, { retryMs: Math.round(pause) }));
  }
}

/** Between half and one and a half times the given span. */
function jittered(step: ConfigurationStep, milliseconds: number): number {
  return milliseconds / 2 + step.random.below(milliseconds + 1);
}
