/** Orders to engines, their fences and the durable intents that precede them. */
export { compareFences, isStale } from './fence.js';
export { describeAction, intentKey, isSameAction, isUnresolved } from './intent.js';
export type { IntentPhase, IntentRow, Order, OrderAction, OrderAnswer } from './types.js';
