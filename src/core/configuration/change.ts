/**
 * An operator's change: reads the row, applies the commands, writes the document and the change's
 * record in one transaction, then waits until the version is in force on every daemon.
 */
import { refusedNotRun } from '../errors/fault.js';
import { CONFIGURATION_EVENTS } from '../logging/catalogue/configuration.js';
import { log } from '../logging/log-event.js';
import type { ObjectResult } from '../platform/object.js';
import type { TableResult, TableRow } from '../platform/table.js';
import {
  answerChange,
  changeIdReused,
  commitOutcomeUnknown,
  putChange,
  refusal,
  storeUnavailable,
  versionConflict,
} from './change-answers.js';
import { awaitConfirmation, continueConfirming } from './change-confirmation.js';
import {
  CHANGE_DEADLINE_MS,
  MAX_CHANGE_ATTEMPTS,
  MAX_INLINE_CHARACTERS,
  STORE_RETRY_MS,
} from './constants.js';
import type { ConfigurationDocument } from './document.js';
import { bringIntoForce, inForceVersion, recordKnownVersion } from './in-force.js';
import { CURRENT_KEY, changeKey, parseChangeRow, parseCurrentRow, parseDocument } from './row.js';
import type { ChangeProgress, ChangeRequest, ConfigurationStep, PreparedChange } from './state.js';
import { scheduleImmediateRead } from './store-read.js';

/** Starts a change, or joins the running change with the same id. */
export function startChange(step: ConfigurationStep, request: ChangeRequest): void {
  const running = step.state.changes.get(request.id);
  if (running === undefined) {
    const progress: ChangeProgress = {
      request,
      waiters: [request.token],
      phase: { kind: 'reading' },
      storeToken: '',
      attempts: 0,
      unsettled: null,
      deadline: step.now + CHANGE_DEADLINE_MS,
    };
    readRows(step, progress);
  } else if (running.request.digest === request.digest) {
    putChange(step, { ...running, waiters: [...running.waiters, request.token] });
  } else {
    const outcome = refusal(step, request.id, changeIdReused(request.id), inForceVersion(step));
    step.effects.push({ kind: 'change-answer', token: request.token, outcome });
  }
}

/** Handles the result of a table call that belongs to a change. */
export function receiveChangeTable(
  step: ConfigurationStep,
  progress: ChangeProgress,
  result: TableResult,
): void {
  switch (result.kind) {
    case 'rows':
      receiveRows(step, progress, result.rows);
      break;
    case 'committed':
      receiveCommit(step, progress, result.rows);
      break;
    case 'conflict':
      retryAfterConflict(step, progress);
      break;
    case 'unavailable':
      receiveUnavailable(step, progress, result.retryAfterMs);
      break;
    case 'lost':
      receiveLost(step, progress);
      break;
  }
}

function readRows(step: ConfigurationStep, progress: ChangeProgress): void {
  const keys = [CURRENT_KEY, changeKey(progress.request.id)];
  const storeToken = step.callTable({ kind: 'get', keys });
  putChange(step, { ...progress, phase: { kind: 'reading' }, storeToken });
}

function receiveRows(
  step: ConfigurationStep,
  progress: ChangeProgress,
  rows: readonly TableRow[],
): void {
  const { request, unsettled } = progress;
  const record = parseChangeRow(rows.find((row) => row.key === changeKey(request.id)));
  if (record !== null) {
    receiveRecord(step, progress, record.digest, record.version);
    return;
  }
  const current = rows.find((row) => row.key === CURRENT_KEY);
  const version = current?.version ?? 0;
  recordKnownVersion(step, version);
  if (unsettled !== null && unsettled.base === version) {
    commit(step, progress, unsettled);
    return;
  }
  // The version has increased, so a transaction whose answer was lost can no longer take effect.
  const settled: ChangeProgress = { ...progress, unsettled: null };
  if (request.ifVersion !== null && request.ifVersion !== version) {
    answerChange(
      step,
      settled,
      refusal(step, request.id, versionConflict(request.ifVersion, version), version),
    );
    return;
  }
  readDocument(step, settled, current, version);
}

function receiveRecord(
  step: ConfigurationStep,
  progress: ChangeProgress,
  digest: string,
  version: number,
): void {
  if (digest !== progress.request.digest) {
    const { id } = progress.request;
    answerChange(step, progress, refusal(step, id, changeIdReused(id), inForceVersion(step)));
    return;
  }
  recordKnownVersion(step, version);
  if (inForceVersion(step) < version) {
    scheduleImmediateRead(step);
  }
  awaitConfirmation(step, progress, version);
}

function readDocument(
  step: ConfigurationStep,
  progress: ChangeProgress,
  row: TableRow | undefined,
  version: number,
): void {
  const { inForce } = step.state;
  if (inForce !== null && inForce.version === version) {
    prepare(step, progress, version, inForce.document);
    return;
  }
  const parsed = parseCurrentRow(row);
  if (parsed.isErr()) {
    const fault = refusedNotRun(
      'internal',
      `The stored configuration can't be used: ${parsed.error}. Look at the row ${CURRENT_KEY}.`,
    );
    answerChange(step, progress, refusal(step, progress.request.id, fault, version));
  } else if (parsed.value.kind === 'inline') {
    prepare(step, progress, version, parsed.value.document);
  } else {
    const storeToken = step.callObject({ kind: 'get', name: parsed.value.object });
    putChange(step, { ...progress, phase: { kind: 'fetching', version }, storeToken });
  }
}

function prepare(
  step: ConfigurationStep,
  progress: ChangeProgress,
  base: number,
  document: ConfigurationDocument,
): void {
  const { id, dryRun, apply } = progress.request;
  const changed = apply(document);
  if (changed.isErr()) {
    answerChange(step, progress, refusal(step, id, changed.error, base));
    return;
  }
  if (dryRun) {
    const { description } = changed.value;
    answerChange(step, progress, { kind: 'dry-run', id, version: base, description });
    return;
  }
  const isLarge = JSON.stringify(changed.value.document).length > MAX_INLINE_CHARACTERS;
  const object = isLarge ? `configuration-${base + 1}-${id}` : null;
  const prepared: PreparedChange = { ...changed.value, base, object };
  if (object === null) {
    commit(step, progress, prepared);
  } else {
    const storeToken = step.callObject({ kind: 'put', name: object, content: prepared.document });
    putChange(step, { ...progress, phase: { kind: 'storing', prepared }, storeToken });
  }
}

/** Handles the result of an object store call that belongs to a change. */
export function receiveChangeObject(
  step: ConfigurationStep,
  progress: ChangeProgress,
  result: ObjectResult,
): void {
  const { phase } = progress;
  if (result.kind === 'unavailable') {
    receiveUnavailable(step, progress, result.retryAfterMs);
  } else if (result.kind === 'stored' && phase.kind === 'storing') {
    commit(step, progress, phase.prepared);
  } else if (result.kind === 'content' && phase.kind === 'fetching') {
    receiveFetched(step, progress, phase.version, result.content);
  } else {
    pause(step, progress, STORE_RETRY_MS);
  }
}

function receiveFetched(
  step: ConfigurationStep,
  progress: ChangeProgress,
  version: number,
  content: unknown,
): void {
  const parsed = parseDocument(content);
  if (parsed.isOk()) {
    prepare(step, progress, version, parsed.value);
    return;
  }
  const fault = refusedNotRun(
    'internal',
    `The stored configuration can't be used: ${parsed.error}. Look at the object that ${CURRENT_KEY} names.`,
  );
  answerChange(step, progress, refusal(step, progress.request.id, fault, version));
}

/** Sends the transaction. Its version checks let it take effect at most once if it is repeated. */
function commit(step: ConfigurationStep, progress: ChangeProgress, prepared: PreparedChange): void {
  const { id, digest, author } = progress.request;
  const { base, object, document, description } = prepared;
  const version = base + 1;
  const current = object === null ? { version, document } : { version, object };
  const storeToken = step.callTable({
    kind: 'transact',
    checks: [
      { key: CURRENT_KEY, version: base },
      { key: changeKey(id), version: 0 },
    ],
    writes: [
      { key: CURRENT_KEY, value: current },
      { key: changeKey(id), value: { version, digest, description, ...author } },
    ],
  });
  putChange(step, { ...progress, phase: { kind: 'committing', prepared }, storeToken });
}

function receiveCommit(
  step: ConfigurationStep,
  progress: ChangeProgress,
  rows: readonly TableRow[],
): void {
  if (progress.phase.kind !== 'committing') {
    return;
  }
  const { prepared } = progress.phase;
  const version = rows.find((row) => row.key === CURRENT_KEY)?.version ?? prepared.base + 1;
  bringIntoForce(step, { version, document: prepared.document }, 'change');
  const fields = { change: progress.request.id, version };
  step.effects.push(log(CONFIGURATION_EVENTS.changeRecorded, fields));
  awaitConfirmation(step, { ...progress, unsettled: null }, version);
}

/** Another change was committed first: applies the commands again, to the newer document. */
function retryAfterConflict(step: ConfigurationStep, progress: ChangeProgress): void {
  const attempts = progress.attempts + 1;
  if (attempts < MAX_CHANGE_ATTEMPTS) {
    readRows(step, { ...progress, attempts });
    return;
  }
  const { id } = progress.request;
  if (progress.unsettled !== null) {
    readRows(step, progress);
    return;
  }
  const fault = refusedNotRun(
    'version-conflict',
    'Other changes came first each time. Look at the newer version and send the change again.',
    { retryable: true },
  );
  answerChange(step, progress, refusal(step, id, fault, step.state.highestVersion));
}

function receiveUnavailable(
  step: ConfigurationStep,
  progress: ChangeProgress,
  retryAfterMs: number,
): void {
  if (progress.unsettled !== null) {
    pause(step, progress, Math.max(STORE_RETRY_MS, retryAfterMs));
    return;
  }
  answerChange(step, progress, storeUnavailable(step, progress, retryAfterMs));
}

function receiveLost(step: ConfigurationStep, progress: ChangeProgress): void {
  const { phase } = progress;
  const unsettled = phase.kind === 'committing' ? phase.prepared : progress.unsettled;
  pause(step, { ...progress, unsettled }, STORE_RETRY_MS);
}

function pause(step: ConfigurationStep, progress: ChangeProgress, milliseconds: number): void {
  const until = step.now + milliseconds;
  putChange(step, { ...progress, phase: { kind: 'pausing', until }, storeToken: '' });
}

/** Advances all changes: ends pauses, checks confirmations and enforces deadlines. */
export function continueChanges(step: ConfigurationStep): void {
  for (const progress of step.state.changes.values()) {
    if (progress.phase.kind === 'confirming') {
      continueConfirming(step, progress, progress.phase);
    } else if (step.now >= progress.deadline) {
      timeOutRecording(step, progress);
    } else if (progress.phase.kind === 'pausing' && step.now >= progress.phase.until) {
      readRows(step, progress);
    }
  }
}

function timeOutRecording(step: ConfigurationStep, progress: ChangeProgress): void {
  const { id } = progress.request;
  const mayBeRecorded = progress.unsettled !== null || progress.phase.kind === 'committing';
  if (!mayBeRecorded) {
    answerChange(step, progress, storeUnavailable(step, progress, STORE_RETRY_MS));
    return;
  }
  answerChange(step, progress, commitOutcomeUnknown(id));
}
