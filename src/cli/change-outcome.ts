/** Determines the outcome of a change from the daemons' answers, or from their absence. */
import type { ChangeOutcome } from '../core/configuration/change-outcome.js';
import { changeOutcomeSchema, errorAnswerSchema } from './answers.js';
import type { CallOutcome, DaemonAnswer } from './operator-client.js';

/**
 * The outcome of a change. If a daemon that was tried before may have made the change, the refusal of
 * a later one does not prove that nothing was changed, and the outcome is unknown.
 */
export function readChangeOutcome(id: string, call: CallOutcome): ChangeOutcome {
  if (call.kind === 'no-answer') {
    const tried = call.reasons.join('; ');
    return unknownOutcome(id, `The answer was lost; the change may have been made (${tried}).`);
  }
  const outcome = readAnswer(id, call);
  if (outcome.kind === 'refused' && call.earlierAnswerLost) {
    return unknownOutcome(
      id,
      `The answer of one daemon was lost, and ${call.daemon} then refused: ${outcome.fault.message}`,
    );
  }
  return outcome;
}

function readAnswer(id: string, { body, daemon }: DaemonAnswer): ChangeOutcome {
  const outcome = changeOutcomeSchema.safeParse(body);
  if (outcome.success) {
    return outcome.data;
  }
  const error = errorAnswerSchema.safeParse(body);
  if (!error.success) {
    return unknownOutcome(id, `${daemon} gave an answer that is not understood.`);
  }
  const fault = error.data.error;
  return fault.outcome === 'unknown'
    ? unknownOutcome(id, fault.message)
    : { kind: 'refused', id, fault, currentVersion: null };
}

function unknownOutcome(id: string, message: string): ChangeOutcome {
  return { kind: 'unknown', id, message, recordedVersion: null, waitingFor: [] };
}
