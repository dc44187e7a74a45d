/** Definitions of small fleets for fault tests, with short engine times and an order service. */
import {
  type ConfigurationDocument,
  configurationSchema,
} from '../../../src/core/configuration/document.js';
import type { Fleet } from '../../../src/lab/fleet/index.js';
import { workloadSchema } from '../../../src/lab/workload/index.js';

/** The model that all engines have loaded at the start. */
export const MODEL = 'labels';
/** Its version at the start. */
export const FIRST_VERSION = '1';
/** The version to roll to. */
export const SECOND_VERSION = '2';
/** Where orders that are not repeatable are sent. */
export const ORDER_PATH = '/orders/renewal';

/** The machines of a fleet. */
export interface FleetShape {
  /** Engines by the name of their pool. */
  readonly pools: Readonly<Record<string, readonly string[]>>;
  readonly webs: readonly string[];
  readonly daemons: readonly string[];
  /** Divides the time of engine steps. */
  readonly speedFactor?: number;
  /** How far the machine list lags behind the state of the machines. */
  readonly machineLagMs?: number;
}

/**
 * The fleet of most fault tests: one pool, an order service, and three daemons, so that two are left when one is
 * lost.
 */
export const SMALL_FLEET: FleetShape = {
  pools: { a: ['a1', 'a2'] },
  webs: ['orders-1'],
  daemons: ['d1', 'd2', 'd3'],
};

const ZONES = ['zone-a', 'zone-b'] as const;
const ROLE_CHANGE_MS = 400;
const LOAD_MS = 400;
const MACHINE_LAG_MS = 200;
const TABLE_CALLS_PER_SECOND = 200;

const CONFIGURATION: ConfigurationDocument = configurationSchema.parse({
  models: { [MODEL]: { version: FIRST_VERSION } },
  tenants: { field: { class: 'interactive' } },
  routes: [{ prefix: '/orders/', service: 'orders', repeatable: false }],
  anonymousTenant: 'field',
});

/** Builds a fleet whose machines alternate between two zones. */
export function fleetOf(shape: FleetShape): Fleet {
  const engines = Object.entries(shape.pools).flatMap(([pool, names]) =>
    names.map((name) => ({ name, pool })),
  );
  return {
    definition: {
      name: 'faults',
      zones: [...ZONES],
      platform: {
        tableRate: TABLE_CALLS_PER_SECOND,
        machineLagMs: shape.machineLagMs ?? MACHINE_LAG_MS,
        weights: [`${MODEL}@${FIRST_VERSION}`, `${MODEL}@${SECOND_VERSION}`],
      },
      engineDefaults: {
        models: [`${MODEL}@${FIRST_VERSION}`],
        adapters: [],
        speedFactor: shape.speedFactor ?? 1,
        maxBatch: 64,
        roleChangeMs: ROLE_CHANGE_MS,
        loadMs: LOAD_MS,
      },
      engines: engines.map(({ name, pool }, place) => ({
        name,
        pool,
        zone: zoneAt(place),
        accelerator: 'new',
        role: 'mixed',
        models: [],
        adapters: [],
      })),
      webs: shape.webs.map((name, place) => ({ name, zone: zoneAt(place), service: 'orders' })),
      daemons: shape.daemons.map((name, place) => ({ name, zone: zoneAt(place) })),
      configuration: '',
      workload: '',
    },
    configuration: CONFIGURATION,
    workload: workloadSchema.parse({
      name: 'none',
      sources: [{ kind: 'model', name: 'none', model: MODEL, ...FIXED_TOKENS }],
      phases: [{ name: 'none', durationMs: 1, rates: {} }],
    }),
  };
}

const FIXED_TOKENS = {
  promptTokens: { kind: 'fixed', value: 1 },
  outputTokens: { kind: 'fixed', value: 1 },
};

function zoneAt(place: number): string {
  return ZONES[place % ZONES.length] ?? ZONES[0];
}
