/** Capacity that is paid by the second: how many servers a zone is to have, and who orders them. */
export {
  type CapacityAction,
  CapacityDuty,
  type CapacityRecord,
} from './capacity-duty.js';
export type { CapacityOrder, OrderOutcome } from './order-tracker.js';
export {
  type CapacityInput,
  planCapacity,
  type ZoneCapacity,
} from './plan-capacity.js';
export {
  planForZoneLoss,
  type ZoneLossPlan,
  type ZoneLossPlanInput,
  type ZoneSupply,
} from './plan-for-zone-loss.js';
export type { CapacitySummary, ScaledService } from './scaled-service.js';
export { ServerListSettling } from './server-list-settling.js';
export { SpotAvailability } from './spot-availability.js';
