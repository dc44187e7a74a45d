/** Helpers over the durable intent rows. */
import type { BackendName } from '../common/identifiers.js';
import type { IntentRow, OrderAction } from './types.js';

/** The key of an engine's intent row. */
export function intentKey(engine: BackendName): string {
  return `intent/${engine}`;
}

/** Whether an intent's order may still take effect. */
export function isUnresolved(row: IntentRow | null): row is IntentRow {
  return row !== null && row.phase !== 'settled';
}

/** Whether two orders ask the same of an engine. */
export function isSameAction(left: OrderAction, right: OrderAction): boolean {
  return describeAction(left) === describeAction(right);
}

/** An order's action in words for logs and operators, for example `load-model labels 2`. */
export function describeAction(action: OrderAction): string {
  switch (action.kind) {
    case 'hold':
      return `hold ${action.intake}`;
    case 'set-role':
      return `set-role ${action.role}`;
    case 'load-model':
    case 'unload-model':
      return `${action.kind} ${action.model} ${action.version}`;
    case 'load-adapter':
      return `load-adapter ${action.model} ${action.adapter} ${action.version}`;
    case 'unload-adapter':
      return `unload-adapter ${action.model} ${action.adapter}`;
  }
}
