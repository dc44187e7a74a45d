/** The configuration model: versions spread between daemons and are never reverted. */
import type { Model, Outcome } from '../explorer.js';
import { intern, internProjection } from '../intern.js';
import { ConfigurationDraft, type ConfigurationProtections } from './draft.js';
import { type ConfigurationStep, describeStep, stepsOf } from './steps.js';
import {
  type ConfigurationBudget,
  type ConfigurationDaemon,
  type ConfigurationWorld,
  changeRequest,
  initialConfigurationWorld,
  PLAIN_CONFIGURATION_RUN,
  RESTARTED,
  withMember,
} from './world.js';

export { CONFIGURATION_PROPERTY, type ConfigurationProtections } from './draft.js';

/** How often each kind of event may occur in one run, where it differs from a plain run. */
export type ConfigurationScope = Partial<ConfigurationBudget>;

const TICK_MS = 1_000;
/** Longer than every deadline and interval of the configuration. */
const LONG_TICK_MS = 60_000;

/** Builds the configuration model. */
export function configurationModel(
  name: string,
  scope: ConfigurationScope,
  protections: ConfigurationProtections = { versionCompare: true },
): Model<ConfigurationWorld, ConfigurationStep> {
  return {
    name,
    initial: initialConfigurationWorld({ ...PLAIN_CONFIGURATION_RUN, ...scope }),
    steps: stepsOf,
    apply: (world, step) => applyStep(world, step, protections),
    key: keyOf,
    describe: describeStep,
    goals: (world) => [...world.answers, ...(world.applied > 1 ? ['second version applied'] : [])],
  };
}

function applyStep(
  world: ConfigurationWorld,
  step: ConfigurationStep,
  protections: ConfigurationProtections,
): Outcome<ConfigurationWorld> | null {
  const fault = 'fault' in step ? step.fault : 'none';
  const draft = new ConfigurationDraft(world, protections, fault);
  if (fault === 'late-call') draft.spend('lateTableCalls');
  if (fault === 'slow-answer') draft.spend('slowTableAnswers');
  performStep(draft, step);
  if (!draft.isFaultSpent) return null;
  draft.checkWorld();
  return { world: draft.world, violations: draft.violations };
}

function performStep(draft: ConfigurationDraft, step: ConfigurationStep): void {
  switch (step.kind) {
    case 'tick':
      draft.advance(step.daemon, TICK_MS);
      break;
    case 'long-tick':
      draft.spend('longTicks');
      draft.advance(step.daemon, LONG_TICK_MS);
      break;
    case 'change':
      draft.spend('changes');
      draft.feed(step.daemon, { kind: 'change', request: changeRequest(step.daemon) });
      break;
    case 'deliver':
      draft.deliver(step.message, step.keepsCopy);
      break;
    case 'restart':
      draft.restart();
      break;
    case 'learn-of-restart': {
      const { incarnation } = draft.daemon(RESTARTED);
      const { membership } = draft.daemon(0);
      draft.setDaemon(0, { membership: withMember(membership, RESTARTED, incarnation) });
      break;
    }
  }
}

function keyOf(world: ConfigurationWorld): string {
  const { table, daemons, messages, budget, applied, answers } = world;
  const late = messages.map(intern).sort();
  const alive = daemons.map((daemon) => internProjection(daemon, daemonKey));
  return [intern(table), alive, late, intern(budget), applied, answers].join('|');
}

function daemonKey(daemon: ConfigurationDaemon): unknown {
  const { incarnation, now, ticks, configuration, membership } = daemon;
  const members = [...membership.members.values()].map((member) => {
    return [member.incarnation, member.configurationVersion];
  });
  const { holders, changes, ...rest } = configuration;
  return [incarnation, now, ticks, rest, [...holders], [...changes], members];
}
