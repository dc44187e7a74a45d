/** The gateway's I/O: listeners for callers and peers, calls to backends, and watches of the store. */
export { Gateway, type GatewayAddresses, type GatewayOptions } from './gateway.js';
export {
  DEFAULT_LOAD_DECISIONS,
  type GatewaySettings,
  type LoadDecisions,
  parseGatewaySettings,
  type SettingsProblem,
} from './gateway-settings.js';
export { describeFault, logFault } from './internal-faults.js';
export type * from './ports.js';
export { GatewayLog } from './request-log.js';
export { SYSTEM_TIMERS, type TimerService } from './timer-service.js';
