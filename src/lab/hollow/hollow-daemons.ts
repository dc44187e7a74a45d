/**
 * Hollow daemons for scale runs: many daemons in one process, each with its own sockets. They run the
 * production code (`startDaemon`) and differ from real daemons only in sharing a process.
 */
import type { DaemonMachine, Endpoint } from '../../core/registry/backend.js';
import { startDaemon } from '../../daemon/daemon.js';
import type { RunningDaemon } from '../../daemon/types.js';
import { createLogger } from '../../shell/logging/index.js';
import { type DaemonSettings, loadSettings } from '../../shell/settings/index.js';
import { MachineRegistration } from '../platform/index.js';

/** Which daemons to run. */
export interface HollowDaemonsOptions {
  readonly platform: Endpoint;
  readonly fleetKey: string;
  /** The number of the first daemon; names are `daemon-<number>`. */
  readonly first: number;
  readonly count: number;
  readonly zones: number;
}

/** The running daemons. */
export interface HollowDaemons {
  readonly daemons: readonly RunningDaemon[];
  close(): void;
}

/** Starts the daemons one after another and registers them in the machine list. */
export async function startHollowDaemons(options: HollowDaemonsOptions): Promise<HollowDaemons> {
  const logger = createLogger({ level: 'error' });
  const list = new MachineRegistration(options.platform);
  const daemons: RunningDaemon[] = [];
  for (let index = 0; index < options.count; index += 1) {
    const settings = settingsOf(options, options.first + index);
    const daemon = await startDaemon(settings, logger);
    daemons.push(daemon);
    await list.put(machineOf(settings, daemon));
  }
  return {
    daemons,
    close: () => {
      for (const daemon of daemons) daemon.stopNow();
    },
  };
}

function settingsOf(options: HollowDaemonsOptions, number: number): DaemonSettings {
  const flags = {
    name: `daemon-${number}`,
    zone: zoneName(number, options.zones),
    listenCallers: '127.0.0.1:0',
    listenOperators: '127.0.0.1:0',
    listenPeers: '127.0.0.1:0',
    platform: `${options.platform.address}:${options.platform.port}`,
    fleetKeyEnv: 'KEY',
  };
  const loaded = loadSettings(flags, () => '', { KEY: options.fleetKey });
  if (loaded.isErr()) {
    throw new Error(loaded.error.map(({ remedy }) => remedy).join('; '));
  }
  return loaded.value;
}

function machineOf(settings: DaemonSettings, daemon: RunningDaemon): DaemonMachine {
  const { name, zone } = settings;
  return { kind: 'daemon', name, zone, state: 'live', ...daemon.peers };
}

/** The zone of a machine by its number; machines are assigned to zones round-robin. */
export function zoneName(number: number, zones: number): string {
  return `zone-${number % zones}`;
}
