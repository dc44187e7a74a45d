/** The final answers to configuration changes. */
import type { Fault } from '../errors/fault.js';
import { refusedNotRun } from '../errors/fault.js';
import { CONFIGURATION_EVENTS } from '../logging/catalogue/configuration.js';
import { log } from '../logging/log-event.js';
import type { ChangeOutcome } from './change-outcome.js';
import { inForceVersion } from './in-force.js';
import type { ChangeProgress, ConfigurationStep } from './state.js';

/** The store's answer to the commit was lost, and the store cannot be read to find out. */
export function commitOutcomeUnknown(id: string): ChangeOutcome {
  const message = `The store's answer was lost and it can't be asked now. Ask later: changes where id = "${id}"; or send the same change under the same id, which takes effect once.`;
  return { kind: 'unknown', id, message, recordedVersion: null, waitingFor: [] };
}

/** The change is recorded, but some daemons have not confirmed its version within the deadline. */
export function confirmationTimedOut(
  id: string,
  version: number,
  waitingFor: readonly string[],
): ChangeOutcome {
  const message = `Version ${version} is recorded and will come into force on each daemon as it is reached, but ${waitingFor.length} of them have not confirmed it. Ask later: changes where id = "${id}".`;
  return { kind: 'unknown', id, message, recordedVersion: version, waitingFor };
}

/** The store did not answer, and no transaction was sent that could still take effect. */
export function storeUnavailable(
  step: ConfigurationStep,
  progress: ChangeProgress,
  retryAfterMs: number,
): ChangeOutcome {
  const fault = refusedNotRun(
    'store-unavailable',
    'The table service does not answer, so nothing was changed. Send the change again later.',
    { retryAfterMs },
  );
  return refusal(step, progress.request.id, fault, inForceVersion(step));
}

/** The change was made for a version that is not the current one. */
export function versionConflict(seen: number, current: number): Fault {
  return refusedNotRun(
    'version-conflict',
    `The change is for version ${seen} but version ${current} is current. Look at it and send the change again for that version.`,
  );
}

/** The change's id was used before, for other commands. */
export function changeIdReused(id: string): Fault {
  return refusedNotRun(
    'idempotency-conflict',
    `The change id ${id} was used for other commands. Send these under a new id.`,
  );
}

/** The change was refused: it has had no effect and will have none. */
export function refusal(
  step: ConfigurationStep,
  id: string,
  fault: Fault,
  version: number,
): ChangeOutcome {
  const currentVersion = version < 0 ? null : Math.max(version, step.state.highestVersion);
  return { kind: 'refused', id, fault, currentVersion };
}

/** Sends the final answer to every call that waits for the change, and drops the change. */
export function answerChange(
  step: ConfigurationStep,
  progress: ChangeProgress,
  outcome: ChangeOutcome,
): void {
  const changes = new Map(step.state.changes);
  changes.delete(progress.request.id);
  step.updateState({ changes });
  for (const token of progress.waiters) {
    step.effects.push({ kind: 'change-answer', token, outcome });
  }
  const fields = { change: progress.request.id, outcome: outcome.kind };
  step.effects.push(log(CONFIGURATION_EVENTS.changeAnswered, fields));
}

/** Stores the progress of a change. */
export function putChange(step: ConfigurationStep, progress: ChangeProgress): void {
  const changes = new Map(step.state.changes).set(progress.request.id, progress);
  step.updateState({ changes });
}
