/** The control model: lease, controller, fenced orders, engine and drain barrier combined. */

import { runningOrder } from '../engine.js';
import type { Model } from '../explorer.js';
import { applyStep } from './apply.js';
import { describeStep } from './describe.js';
import { keyOf } from './key.js';
import { intentOf } from './properties.js';
import { CONTROL_PROPERTIES } from './property-names.js';
import { type ControlStep, stepsOf } from './steps.js';
import {
  ALL_PROTECTIONS,
  type ControlWorld,
  type FaultBudget,
  initialWorld,
  NO_FAULTS,
  type Protections,
} from './world.js';

export { CONTROL_PROPERTIES };

/** How often each fault may occur in one run; a fault left out does not occur. */
export type ControlScope = Partial<FaultBudget>;

/** Builds the control model with a budget of faults; a mutation sets a protection to false. */
export function controlModel(
  name: string,
  scope: ControlScope,
  without: Partial<Protections> = {},
): Model<ControlWorld, ControlStep> {
  const protections = { ...ALL_PROTECTIONS, ...without };
  return {
    name,
    initial: initialWorld({ ...NO_FAULTS, ...scope }, protections),
    steps: (world) => stepsOf(world, protections),
    apply: (world, step) => applyStep(world, step, protections),
    key: keyOf,
    describe: describeStep,
    goals: goalsOf,
  };
}

function goalsOf(world: ControlWorld): string[] {
  const goals: string[] = [];
  const row = intentOf(world);
  if (row?.phase === 'settled') goals.push(`order ${row.outcome}`);
  if (runningOrder(world.engine) !== null) goals.push('order runs');
  if (world.engine.active > 0) goals.push('request runs');
  if ((world.engine.fence?.epoch ?? 0) > 1) goals.push('second epoch at the engine');
  return goals;
}
