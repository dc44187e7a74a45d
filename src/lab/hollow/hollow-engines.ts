/** Many emulated engines in one process, each with its own listener. For scale runs. */
import type { Endpoint, EngineMachine } from '../../core/registry/backend.js';
import { createEngineServer, type EngineServer } from '../engine/index.js';
import { MachineRegistration } from '../platform/index.js';
import { zoneName } from './hollow-daemons.js';

/** Which engines to run. */
export interface HollowEnginesOptions {
  readonly platform: Endpoint;
  /** The number of the first engine; names are `engine-<number>`. */
  readonly first: number;
  readonly count: number;
  readonly zones: number;
  readonly models: number;
}

/** Starts the engines one after another and registers them in the machine list. */
export async function startHollowEngines(
  options: HollowEnginesOptions,
): Promise<readonly EngineServer[]> {
  const list = new MachineRegistration(options.platform);
  const servers: EngineServer[] = [];
  for (let index = 0; index < options.count; index += 1) {
    const number = options.first + index;
    const model = `model-${number % options.models}`;
    const server = await createEngineServer({
      listen: { address: '127.0.0.1', port: 0 },
      name: `engine-${number}`,
      role: 'mixed',
      models: [{ model, version: 'v1', adapters: [] }],
      accelerator: 'new',
      seed: number,
    });
    servers.push(server);
    await list.put(machineOf(number, model, options.zones, server.endpoint));
  }
  return servers;
}

function machineOf(
  number: number,
  model: string,
  zones: number,
  endpoint: Endpoint,
): EngineMachine {
  const zone = zoneName(number, zones);
  return {
    kind: 'engine',
    name: `engine-${number}`,
    zone,
    state: 'live',
    accelerator: 'new',
    pool: `${model}@${zone}`,
    ...endpoint,
  };
}
