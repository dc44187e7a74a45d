/** The options of a simulated fleet, and what is recorded about its daemons. */
import type { Milliseconds } from '../../core/common/time.js';
import type { LogFields } from '../../core/logging/log-event.js';
import type { SimulatedDaemon } from './simulated-daemon.js';
import type { NetworkFaults } from './simulated-network.js';

/** The options of a simulation. */
export interface FleetOptions {
  readonly seed: number;
  readonly daemons: number;
  readonly zones: number;
  readonly engines?: number;
  readonly network?: Partial<NetworkFaults>;
  readonly machineLagMs?: Milliseconds;
  /** Encodes, authenticates and decodes each message, so that bytes and processor time are realistic. */
  readonly wire?: boolean;
}

/** Counts of messages and their bytes. */
export interface Traffic {
  messages: number;
  bytes: number;
}

/** A daemon's slot in the fleet, which persists across restarts of the daemon. */
export interface DaemonSlot {
  readonly name: string;
  readonly zone: string;
  readonly port: number;
  readonly sent: Traffic;
  /** Null while it is down. */
  daemon: SimulatedDaemon | null;
  /** Incremented at each start and kill, so that events for an earlier incarnation are dropped. */
  generation: number;
  clockOffset: Milliseconds;
  pausedUntil: Milliseconds;
}

/** A log line of a simulated daemon. */
export interface LoggedLine {
  readonly at: Milliseconds;
  readonly daemon: string;
  readonly number: number;
  readonly fields: LogFields;
}
