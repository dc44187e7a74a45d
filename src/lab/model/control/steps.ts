/**
 * The possible steps of the control model.
 *
 * Time advances by a tick only when every live daemon has had its turn and no message is in flight
 * other than late ones, whose sender has stopped waiting, and answers to daemons that are not live.
 */
import { mayDispatch } from '../../../core/registry/grant.js';
import { runningOrder } from '../engine.js';
import { type TableFault, viewOf } from './draft.js';
import {
  type ControlDaemon,
  type ControlWorld,
  clockOf,
  type Message,
  type Protections,
} from './world.js';

/** One possible step. */
export type ControlStep =
  | { readonly kind: 'advance'; readonly laggard: number | 'dispatcher' | null }
  | {
      readonly kind: 'turn';
      readonly daemon: number;
      /** Whether the daemon has polled the engine in this tick. */
      readonly polls: boolean;
      readonly fault: TableFault;
    }
  | {
      readonly kind: 'deliver';
      readonly message: Message;
      readonly mode: 'once' | 'and-keep-a-copy';
      readonly fault: TableFault;
    }
  | { readonly kind: 'give-up'; readonly message: Message }
  | { readonly kind: 'pause' | 'wake' | 'kill' | 'restart'; readonly daemon: number }
  | { readonly kind: 'store-down' | 'store-up'; readonly daemon: number }
  | { readonly kind: 'poll' }
  | { readonly kind: 'dispatch' }
  | { readonly kind: 'finish-request' }
  | { readonly kind: 'finish-order'; readonly state: 'done' | 'failed' }
  | { readonly kind: 'crash-engine' }
  | { readonly kind: 'reverse-role' };

/** All steps that are possible in a world. */
export function stepsOf(world: ControlWorld, protections: Protections): ControlStep[] {
  return [
    ...turnSteps(world),
    ...messageSteps(world),
    ...engineSteps(world),
    ...dispatcherSteps(world, protections),
    ...world.daemons.flatMap((daemon, index) => daemonFaults(world, daemon, index)),
    ...advanceSteps(world),
  ];
}

function turnSteps(world: ControlWorld): ControlStep[] {
  return world.daemons.flatMap((daemon, index): ControlStep[] => {
    if (daemon.status !== 'live' || !daemon.due) return [];
    // The actions of a daemon without the lease do not depend on the engine's report.
    const polls = daemon.lease.held === null ? [false] : [true, false];
    return tableFaults(world).flatMap((fault) => {
      return polls.map((each) => ({ kind: 'turn', daemon: index, polls: each, fault }) as const);
    });
  });
}

function tableFaults(world: ControlWorld): TableFault[] {
  const faults: TableFault[] = ['none'];
  if (world.budget.lateTableCalls > 0) faults.push('late-call');
  if (world.budget.slowTableAnswers > 0) faults.push('slow-answer');
  return faults;
}

function messageSteps(world: ControlWorld): ControlStep[] {
  return world.messages.flatMap((message): ControlStep[] => {
    const steps: ControlStep[] = [];
    if (!isReceivable(world, message)) return steps;
    const faults = isToDaemon(message) ? tableFaults(world) : (['none'] as const);
    for (const fault of faults) steps.push({ kind: 'deliver', message, mode: 'once', fault });
    if (message.kind === 'order' && !message.late && world.budget.duplicates > 0) {
      steps.push({ kind: 'deliver', message, mode: 'and-keep-a-copy', fault: 'none' });
    }
    const mayGiveUp =
      world.budget.lateMessages > 0 && !message.late && isSenderLive(world, message);
    if (mayGiveUp) steps.push({ kind: 'give-up', message });
    return steps;
  });
}

function isToDaemon(message: Message): boolean {
  switch (message.kind) {
    case 'order-answer':
    case 'query-answer':
    case 'table-answer':
      return true;
    default:
      return false;
  }
}

function isSenderLive(world: ControlWorld, message: Message): boolean {
  return message.kind === 'request' || world.daemons[message.from.daemon]?.status === 'live';
}

/** Answers wait while their daemon is paused; answers to an earlier incarnation are dropped when sent. */
function isReceivable(world: ControlWorld, message: Message): boolean {
  return !isToDaemon(message) || isSenderLive(world, message);
}

function engineSteps(world: ControlWorld): ControlStep[] {
  const steps: ControlStep[] = [];
  if (world.budget.reversals > 0) steps.push({ kind: 'reverse-role' });
  if (world.engine.active > 0) steps.push({ kind: 'finish-request' });
  if (runningOrder(world.engine) !== null) {
    steps.push({ kind: 'finish-order', state: 'done' });
    if (world.budget.failedOrders > 0) steps.push({ kind: 'finish-order', state: 'failed' });
  }
  if (world.budget.engineCrashes > 0) steps.push({ kind: 'crash-engine' });
  return steps;
}

function dispatcherSteps(world: ControlWorld, protections: Protections): ControlStep[] {
  const steps: ControlStep[] = [];
  if (world.budget.requests === 0) return steps;
  const dispatcher = world.dispatcher;
  steps.push({ kind: 'poll' });
  if (mayDispatch(viewOf(dispatcher, protections), clockOf(world, dispatcher))) {
    steps.push({ kind: 'dispatch' });
  }
  return steps;
}

function daemonFaults(world: ControlWorld, daemon: ControlDaemon, index: number): ControlStep[] {
  const { budget } = world;
  switch (daemon.status) {
    case 'dead':
      return budget.restarts > 0 ? [{ kind: 'restart', daemon: index }] : [];
    case 'paused':
      return [{ kind: 'wake', daemon: index }];
    case 'live': {
      const steps: ControlStep[] = [];
      if (daemon.storeDown) steps.push({ kind: 'store-up', daemon: index });
      // Only faults of the lease holder can affect the engine.
      if (daemon.lease.held === null) return steps;
      if (budget.kills > 0) steps.push({ kind: 'kill', daemon: index });
      if (budget.pauses > 0) steps.push({ kind: 'pause', daemon: index });
      if (budget.storeOutages > 0 && !daemon.storeDown) {
        steps.push({ kind: 'store-down', daemon: index });
      }
      return steps;
    }
  }
}

function advanceSteps(world: ControlWorld): ControlStep[] {
  const isAwaited = world.messages.some((message) => !message.late && isReceivable(world, message));
  const isDue = world.daemons.some((daemon) => daemon.status === 'live' && daemon.due);
  if (isAwaited || isDue) return [];
  const steps: ControlStep[] = [{ kind: 'advance', laggard: null }];
  if (world.budget.clockLags > 0) {
    for (const [index] of world.daemons.entries()) steps.push({ kind: 'advance', laggard: index });
  }
  if (world.budget.dispatcherLags > 0) steps.push({ kind: 'advance', laggard: 'dispatcher' });
  return steps;
}
