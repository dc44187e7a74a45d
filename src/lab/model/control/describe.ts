/**
 * Describes steps of the control model in words, for traces.
 */
import type { TableFault } from './draft.js';
import type { ControlStep } from './steps.js';
import type { Message } from './world.js';

/** A step in words. */
export function describeStep(step: ControlStep): string {
  switch (step.kind) {
    case 'advance':
      return step.laggard === null
        ? 'a tick passes'
        : `a tick passes, but not on the clock of ${nameOf(step.laggard)}`;
    case 'turn': {
      const poll = step.polls ? 'polls the engine and acts' : 'acts';
      return `${nameOf(step.daemon)} ${poll}${describeFault(step.fault)}`;
    }
    case 'deliver': {
      const copy = step.mode === 'once' ? '' : ', and a copy stays in flight';
      return `delivered: ${describeMessage(step.message)}${copy}${describeFault(step.fault)}`;
    }
    case 'give-up':
      return `its sender times out on: ${describeMessage(step.message)}`;
    case 'finish-order':
      return `the engine ends its order: ${step.state}`;
    case 'finish-request':
      return 'the engine ends a request';
    case 'poll':
      return 'the dispatcher polls the engine';
    case 'dispatch':
      return 'the dispatcher sends a request';
    case 'crash-engine':
      return 'the engine crashes and boots again';
    case 'reverse-role':
      return 'the desired role is reverted';
    default:
      return `${step.kind} ${nameOf(step.daemon)}`;
  }
}

function nameOf(daemon: number | 'dispatcher'): string {
  if (daemon === 'dispatcher') return 'the dispatcher';
  return daemon === 0 ? 'a' : 'b';
}

function describeFault(fault: TableFault): string {
  if (fault === 'none') return '';
  return fault === 'late-call' ? ' (its table call is late)' : ' (its table answer is late)';
}

function describeMessage(message: Message): string {
  switch (message.kind) {
    case 'table-call':
      return `late ${message.call.kind} of ${nameOf(message.from.daemon)}`;
    case 'table-answer':
      return `late table answer to ${nameOf(message.from.daemon)}`;
    case 'order':
      return `${message.late ? 'late ' : ''}order ${message.order.id} of ${nameOf(message.from.daemon)}`;
    case 'order-answer':
      return `answer to ${message.order.id}`;
    case 'query':
      return `query of ${message.orderId}`;
    case 'query-answer':
      return `answer to the query of ${message.orderId}: ${message.state}`;
    case 'request':
      return `${message.late ? 'late ' : ''}request`;
  }
}
