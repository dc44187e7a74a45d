/** The command lines that start the processes of a fleet. */
import { fileURLToPath } from 'node:url';
import type { Endpoint } from '../../core/registry/backend.js';
import { formatEndpoint } from '../../shell/settings/index.js';
import type { EngineDefinition, FleetDefinition } from './definition.js';

const LAB_SCRIPT = fileURLToPath(new URL('../main.js', import.meta.url));
const DAEMON_SCRIPT = fileURLToPath(new URL('../../daemon/main.js', import.meta.url));
const ANY_PORT = '127.0.0.1:0';
/** The environment variable that passes the fleet key to the daemons. */
export const FLEET_KEY_VARIABLE = 'THREADFORK_FLEET_KEY';

/** The command of the emulated platform. */
export function platformCommand({ platform }: FleetDefinition): string[] {
  const rate = ['--table-rate', String(platform.tableRate)];
  const lag = ['--machine-lag-ms', String(platform.machineLagMs)];
  return [LAB_SCRIPT, 'platform', '--listen', ANY_PORT, ...rate, ...lag];
}

/** The command of an engine; `number` is its position in the fleet and its seed. */
export function engineCommand(
  fleet: FleetDefinition,
  engine: EngineDefinition,
  number: number,
  platform: Endpoint,
): string[] {
  const { engineDefaults: shared } = fleet;
  const models = [...shared.models, ...engine.models].flatMap((model) => ['--model', model]);
  const adapters = [...shared.adapters, ...engine.adapters];
  return [
    ...machine('engine', engine, platform),
    ...['--accelerator', engine.accelerator, '--role', engine.role],
    ...(engine.pool === undefined ? [] : ['--pool', engine.pool]),
    ...models,
    ...adapters.flatMap((adapter) => ['--adapter', adapter]),
    ...['--seed', String(number), '--speed-factor', String(shared.speedFactor)],
    ...['--max-batch', String(shared.maxBatch), '--load-ms', String(shared.loadMs)],
    ...['--role-change-ms', String(shared.roleChangeMs)],
  ];
}

/** The command of a web backend. */
export function webCommand(web: FleetDefinition['webs'][number], platform: Endpoint): string[] {
  return [...machine('web', web, platform), '--service', web.service];
}

/** The command of a daemon. */
export function daemonCommand(
  daemon: FleetDefinition['daemons'][number],
  platform: Endpoint,
): string[] {
  return [
    DAEMON_SCRIPT,
    ...['--name', daemon.name, '--zone', daemon.zone],
    ...['--listen-callers', ANY_PORT, '--listen-operators', ANY_PORT, '--listen-peers', ANY_PORT],
    ...['--platform', formatEndpoint(platform), '--fleet-key-env', FLEET_KEY_VARIABLE],
  ];
}

function machine(
  kind: 'engine' | 'web',
  { name, zone }: { readonly name: string; readonly zone: string },
  platform: Endpoint,
): string[] {
  const at = ['--listen', ANY_PORT, '--platform', formatEndpoint(platform)];
  return [LAB_SCRIPT, kind, '--name', name, '--zone', zone, ...at];
}
