/** The reducer of configuration. */
import type { StepContext, Transition } from '../common/transition.js';
import type { MembershipState } from '../membership/index.js';
import type { PeerReceivedEvent } from '../peer/index.js';
import type { ObjectResultEvent } from '../platform/object.js';
import type { TableResultEvent } from '../platform/table.js';
import { continueChanges, receiveChangeObject, receiveChangeTable, startChange } from './change.js';
import { continuePulling, receiveFromPeer } from './peers.js';
import {
  type ChangeProgress,
  type ChangeRequest,
  type ConfigurationEffect,
  type ConfigurationState,
  ConfigurationStep,
} from './state.js';
import { continueReading, receiveObject, receiveRead } from './store-read.js';

/** The events that configuration handles. Ticks are expected about every 100 ms. */
export type ConfigurationEvent =
  | { readonly kind: 'tick' }
  | PeerReceivedEvent
  | TableResultEvent
  | ObjectResultEvent
  | { readonly kind: 'change'; readonly request: ChangeRequest };

/** One step of configuration. `membership` must be the state after it handled the same event. */
export function stepConfiguration(
  state: ConfigurationState,
  event: ConfigurationEvent,
  context: StepContext,
  membership: MembershipState,
): Transition<ConfigurationState, ConfigurationEffect> {
  const step = new ConfigurationStep(state, context, membership);
  switch (event.kind) {
    case 'tick':
      continuePulling(step);
      continueReading(step);
      continueChanges(step);
      break;
    case 'peer-received':
      receiveFromPeer(step, event);
      continueChanges(step);
      break;
    case 'table-result':
      receiveTableResult(step, event);
      break;
    case 'object-result':
      receiveObjectResult(step, event);
      break;
    case 'change':
      startChange(step, event.request);
      break;
  }
  return step.finish();
}

function receiveTableResult(step: ConfigurationStep, event: TableResultEvent): void {
  if (event.token === step.state.read?.token) {
    receiveRead(step, event.result);
    return;
  }
  const progress = changeOfToken(step, event.token);
  if (progress !== null) {
    receiveChangeTable(step, progress, event.result);
  }
}

function receiveObjectResult(step: ConfigurationStep, event: ObjectResultEvent): void {
  const { read } = step.state;
  if (read !== null && event.token === read.token && read.objectVersion !== null) {
    receiveObject(step, read.objectVersion, event.result);
    return;
  }
  const progress = changeOfToken(step, event.token);
  if (progress !== null) {
    receiveChangeObject(step, progress, event.result);
  }
}

function changeOfToken(step: ConfigurationStep, token: string): ChangeProgress | null {
  for (const progress of step.state.changes.values()) {
    if (progress.storeToken === token) {
      return progress;
    }
  }
  return null;
}
