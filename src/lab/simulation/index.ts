/** A simulated fleet in virtual time: production reducers, emulated engines, callers and faults. */
export type { CallerOutcome, FleetObserver, IssuedRequest, PromptShape } from './observer.js';
export { type BrokenPromise, Oracle, type OutcomeCounts, type Violation } from './oracle.js';
export type { SimulatedDaemon } from './simulated-daemon.js';
export { type FleetEngine, type FleetOptions, SimulatedFleet } from './simulated-fleet.js';
export { VirtualClock } from './virtual-clock.js';
