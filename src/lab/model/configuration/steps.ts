/** The possible steps of the configuration model, and their descriptions for traces. */
import type { TableFault } from './draft.js';
import {
  type ConfigurationMessage,
  type ConfigurationWorld,
  DAEMON_NAMES,
  RESTARTED,
} from './world.js';

/** One possible step. */
export type ConfigurationStep =
  | {
      readonly kind: 'tick' | 'long-tick' | 'change';
      readonly daemon: number;
      readonly fault: TableFault;
    }
  | {
      readonly kind: 'deliver';
      readonly message: ConfigurationMessage;
      readonly keepsCopy: boolean;
      readonly fault: TableFault;
    }
  | { readonly kind: 'restart' }
  | { readonly kind: 'learn-of-restart' };

/** All steps that are possible in a world. */
export function stepsOf(world: ConfigurationWorld): ConfigurationStep[] {
  const { budget } = world;
  const faults: TableFault[] = ['none'];
  if (budget.lateTableCalls > 0) faults.push('late-call');
  if (budget.slowTableAnswers > 0) faults.push('slow-answer');
  const steps: ConfigurationStep[] = [];
  for (const [daemon, { ticks }] of world.daemons.entries()) {
    for (const fault of faults) {
      if (ticks < budget.ticks) steps.push({ kind: 'tick', daemon, fault });
      if (budget.longTicks > 0) steps.push({ kind: 'long-tick', daemon, fault });
      const isTurn = budget.changes === DAEMON_NAMES.length - daemon;
      if (isTurn) steps.push({ kind: 'change', daemon, fault });
    }
  }
  for (const message of world.messages) {
    for (const fault of message.kind === 'table-call' ? (['none'] as const) : faults) {
      steps.push({ kind: 'deliver', message, keepsCopy: false, fault });
    }
    const mayRepeat = message.kind === 'peer' && message.channel === 'datagram';
    if (mayRepeat && budget.duplicates > 0) {
      steps.push({ kind: 'deliver', message, keepsCopy: true, fault: 'none' });
    }
  }
  if (budget.restarts > 0) steps.push({ kind: 'restart' });
  if (isRestartUnknown(world)) steps.push({ kind: 'learn-of-restart' });
  return steps;
}

function isRestartUnknown(world: ConfigurationWorld): boolean {
  const [first, second] = world.daemons;
  const known = first?.membership.members.get(DAEMON_NAMES[RESTARTED])?.incarnation;
  return known !== second?.incarnation;
}

/** A step in words. */
export function describeStep(step: ConfigurationStep): string {
  const fault = 'fault' in step && step.fault !== 'none' ? ` (${step.fault})` : '';
  switch (step.kind) {
    case 'restart':
      return 'daemon b restarts';
    case 'learn-of-restart':
      return 'daemon a learns of the new incarnation of b';
    case 'deliver': {
      const { message } = step;
      const copy = step.keepsCopy ? ', and a copy stays in flight' : '';
      const what = message.kind === 'peer' ? message.message.kind : message.kind;
      return `delivered: ${what}${copy}${fault}`;
    }
    default:
      return `${step.kind} at ${DAEMON_NAMES[step.daemon]}${fault}`;
  }
}
