/** The engines of a scenario's fleet. */
import type { LoadedModel } from '../../core/registry/backend.js';
import type { FleetEngine } from '../simulation/index.js';
import type { Roles } from './policy.js';
import type { Scenario } from './scenario-file.js';

/** The engines with their initial roles; `mixed` where no role is given. */
export function fleetEngines(scenario: Scenario, roles: Roles): readonly FleetEngine[] {
  const { engines, engineDefaults } = scenario.fleet.definition;
  const { speedFactor, maxBatch, roleChangeMs } = scenario.definition.engines;
  const models = engineModels(scenario);
  return engines.map(({ name, zone, accelerator }) => ({
    name,
    zone,
    accelerator,
    role: roles.get(name) ?? 'mixed',
    models,
    speedFactor: speedFactor ?? engineDefaults.speedFactor,
    maxBatch: maxBatch ?? engineDefaults.maxBatch,
    roleChangeMs: roleChangeMs ?? engineDefaults.roleChangeMs,
    loadMs: engineDefaults.loadMs,
  }));
}

/** The models that every engine has loaded at the start: those of the configuration. */
export function engineModels({ fleet }: Scenario): readonly LoadedModel[] {
  return Object.entries(fleet.configuration.models).map(([model, { version, adapters }]) => ({
    model,
    version,
    adapters: Object.entries(adapters)
      .map(([adapter, entry]) => ({ adapter, version: entry.version }))
      .sort((one, other) => (one.adapter < other.adapter ? -1 : 1)),
  }));
}
