/** Waiting until a recorded change is in force on every daemon that may still be running. */
import { mayLackDaemons } from '../membership/index.js';
import { datagram } from '../peer/index.js';
import { answerChange, confirmationTimedOut, putChange } from './change-answers.js';
import { confirmationOf } from './confirmation.js';
import { CHANGE_DEADLINE_MS, CONFIRM_FANOUT, CONFIRM_INTERVAL_MS } from './constants.js';
import { inForceVersion } from './in-force.js';
import type { ChangePhase, ChangeProgress, ConfigurationStep } from './state.js';

type ConfirmingPhase = Extract<ChangePhase, { kind: 'confirming' }>;

/** The change is recorded: waits until its version is in force everywhere. */
export function awaitConfirmation(
  step: ConfigurationStep,
  progress: ChangeProgress,
  version: number,
): void {
  const nextAnnounceAt = step.now + CONFIRM_INTERVAL_MS;
  const phase: ConfirmingPhase = { kind: 'confirming', version, nextAnnounceAt };
  const deadline = step.now + CHANGE_DEADLINE_MS;
  const confirming = { ...progress, phase, storeToken: '', unsettled: null, deadline };
  putChange(step, confirming);
  continueConfirming(step, confirming, phase);
}

/** Answers once all have confirmed or the time is up, and asks the others again meanwhile. */
export function continueConfirming(
  step: ConfigurationStep,
  progress: ChangeProgress,
  phase: ConfirmingPhase,
): void {
  const { id } = progress.request;
  const { version } = phase;
  const own = inForceVersion(step);
  const { inForce, waitingFor } = confirmationOf(step.membership, own, version);
  // One that does not know the others yet would count itself alone.
  const knowsAll = !mayLackDaemons(step.membership, step.now);
  if (knowsAll && waitingFor.length === 0 && own >= version) {
    answerChange(step, progress, { kind: 'applied', id, version, inForce });
    return;
  }
  if (step.now >= progress.deadline) {
    const names = waitingFor.map((daemon) => daemon.name).sort();
    answerChange(step, progress, confirmationTimedOut(id, version, names));
    return;
  }
  if (step.now >= phase.nextAnnounceAt) {
    putChange(step, {
      ...progress,
      phase: { ...phase, nextAnnounceAt: step.now + CONFIRM_INTERVAL_MS },
    });
    const origin = step.state.self.endpoint;
    const message = { kind: 'configuration-announce', version: own, origin } as const;
    for (const daemon of step.random.sample(waitingFor, CONFIRM_FANOUT)) {
      step.effects.push(datagram(daemon.endpoint, message));
    }
  }
}
