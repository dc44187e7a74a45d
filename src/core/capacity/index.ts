/** Capacity that is paid by the second: how many servers a zone is to have, and who orders them. */
export {
  type CapacityAction,
  CapacityDuty,
  type CapacityOrder,
  type CapacityRecord,
  type OrderOutcome,
  type ScaledService,
} from './capacity-duty.js';
export {
  type CapacityInput,
  planCapacity,
  type ZoneCapacity,
} from './plan-capacity.js';
