/** Capacity that is billed per second: how many servers each zone should have, and which daemon orders them. */
export {
  type CapacityAction,
  CapacityDuty,
  type CapacityRecord,
} from './capacity-duty.js';
export type { CapacityOrder, OrderOutcome } from './order-book.js';
export {
  type CapacityInput,
  planCapacity,
  type ZoneCapacity,
} from './plan-capacity.js';
export {
  type LossPlan,
  type LossPlanInput,
  planForLoss,
  type ZoneSupply,
} from './plan-for-loss.js';
export type { CapacityBelief, ScaledService } from './scaled-service.js';
export { ServerListSettling } from './server-list-settling.js';
export { SpotSupply } from './spot-supply.js';
