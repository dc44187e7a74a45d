/**
 * The models that `npm run model` checks, with their scopes, and the mutations: each mutation removes
 * one protection, and the exploration must then find a violation.
 */
import { CLAIMS_PROPERTIES, type ClaimsScope, claimsModel } from './claims/index.js';
import {
  CONFIGURATION_PROPERTY,
  type ConfigurationScope,
  configurationModel,
} from './configuration/index.js';
import { CONTROL_PROPERTIES, type ControlScope, controlModel } from './control/index.js';
import type { Exploration, Limits, Model } from './explorer.js';
import { LEAVING_PROPERTY, leavingModel } from './leaving/index.js';
import { STOP_PROPERTY, stopModel } from './stop/index.js';
import { STREAMS_PROPERTY, streamsModel } from './streams/index.js';

/** Explores a model: either the plain explorer or the one built on `xstate/graph`. */
export type Explorer = <World, Step>(
  model: Model<World, Step>,
  limits: Limits,
  now: () => number,
) => Exploration;

/** Explores one model in one scope. */
export type Check = (explorer: Explorer, limits: Limits, now: () => number) => Exploration;

/** A model in one scope. */
export interface CatalogueEntry {
  readonly name: string;
  /** Deep scopes take minutes and are checked only with `--deep`. */
  readonly isDeep: boolean;
  readonly check: Check;
}

/** A model with one protection removed. A protection that guards two properties has two entries. */
export interface Mutation {
  readonly name: string;
  /** Which protection is removed, and how. */
  readonly description: string;
  /** The property that the mutated model must violate. */
  readonly property: string;
  readonly check: Check;
}

/** The control model's scopes: which faults may occur in one run, and how often. */
const CONTROL_SCOPES: readonly { readonly scope: ControlScope; readonly isDeep: boolean }[] = [
  { scope: { kills: 1, lateMessages: 1 }, isDeep: false },
  { scope: { kills: 1, requests: 1 }, isDeep: false },
  { scope: { reversals: 1 }, isDeep: false },
  { scope: { duplicates: 1 }, isDeep: false },
  { scope: { lateTableCalls: 1 }, isDeep: false },
  { scope: { engineCrashes: 1 }, isDeep: false },
  { scope: { failedOrders: 1 }, isDeep: false },
  { scope: { reversals: 1, duplicates: 1 }, isDeep: true },
  { scope: { requests: 1, dispatcherLags: 1 }, isDeep: true },
  { scope: { engineCrashes: 1, failedOrders: 1 }, isDeep: true },
  { scope: { pauses: 1 }, isDeep: true },
  { scope: { pauses: 1, lateMessages: 1 }, isDeep: true },
  { scope: { pauses: 1, requests: 1 }, isDeep: true },
  { scope: { storeOutages: 1, clockLags: 1 }, isDeep: true },
  { scope: { slowTableAnswers: 1 }, isDeep: true },
  { scope: { requests: 1, clockLags: 1, dispatcherLags: 1 }, isDeep: true },
  { scope: { requests: 1, lateMessages: 1 }, isDeep: true },
  { scope: { kills: 1, restarts: 1, lateMessages: 1, duplicates: 1 }, isDeep: true },
  { scope: { kills: 1, engineCrashes: 1, lateMessages: 1 }, isDeep: true },
  { scope: { reversals: 1, lateMessages: 2 }, isDeep: true },
  { scope: { lateTableCalls: 2, kills: 1 }, isDeep: true },
];

const CLAIMS_SCOPES: readonly { readonly scope: ClaimsScope; readonly isDeep: boolean }[] = [
  { scope: { kills: 1, lateTableCalls: 1, breaks: 1 }, isDeep: false },
  { scope: { deadlines: 1, callersGone: 1, slowTableAnswers: 1, refusals: 1 }, isDeep: false },
  { scope: { kills: 1, lateTableCalls: 1, breaks: 1, refusals: 1, deadlines: 1 }, isDeep: true },
  { scope: { kills: 1, lateTableCalls: 2, slowTableAnswers: 1, unavailable: 1 }, isDeep: true },
  { scope: { callersGone: 1, deadlines: 1, lateTableCalls: 2, breaks: 1 }, isDeep: true },
];

const CONFIGURATION_SCOPES: readonly {
  readonly scope: ConfigurationScope;
  readonly isDeep: boolean;
}[] = [
  { scope: { ticks: 1 }, isDeep: false },
  { scope: { changes: 1, ticks: 1, restarts: 1 }, isDeep: true },
  { scope: { ticks: 1, slowTableAnswers: 1 }, isDeep: true },
  { scope: { changes: 1, ticks: 1, restarts: 1, slowTableAnswers: 1 }, isDeep: true },
  { scope: { changes: 1, lateTableCalls: 1 }, isDeep: true },
  { scope: { changes: 1, duplicates: 1 }, isDeep: true },
  { scope: { ticks: 1, longTicks: 1, lateTableCalls: 1 }, isDeep: true },
];

const STREAMS_SCOPE = { repeated: 2, foreign: 2, gaps: 1, earlyEnds: 1, breaks: 2 };

function describeScope(scope: object): string {
  return Object.entries(scope)
    .map(([fault, count]) => `${count} ${fault}`)
    .join(', ');
}

function scoped<Scope extends object, World, Step>(
  area: string,
  build: (name: string, scope: Scope) => Model<World, Step>,
  scopes: readonly { readonly scope: Scope; readonly isDeep: boolean }[],
): CatalogueEntry[] {
  return scopes.map(({ scope, isDeep }) => {
    const name = `${area}: ${describeScope(scope)}`;
    return { name, isDeep, check: checkOf(build(name, scope)) };
  });
}

function checkOf<World, Step>(model: Model<World, Step>): Check {
  return (explorer, limits, now) => explorer(model, limits, now);
}

/** All models. */
export const MODELS: readonly CatalogueEntry[] = [
  ...scoped('control', controlModel, CONTROL_SCOPES),
  ...scoped('streams', streamsModel, [{ scope: STREAMS_SCOPE, isDeep: false }]),
  ...scoped('claims', claimsModel, CLAIMS_SCOPES),
  { name: 'leaving', isDeep: false, check: checkOf(leavingModel('leaving')) },
  { name: 'stop', isDeep: false, check: checkOf(stopModel('stop')) },
  ...scoped('configuration', configurationModel, CONFIGURATION_SCOPES),
];

/** All mutations. */
export const MUTATIONS: readonly Mutation[] = [
  {
    name: 'no-fence',
    description: 'the engine accepts orders under any fence',
    property: CONTROL_PROPERTIES.deposed,
    check: checkOf(controlModel('control', { kills: 1, lateMessages: 1 }, { fences: false })),
  },
  {
    name: 'no-margin',
    description: 'leases have no margin for clock drift',
    property: CONTROL_PROPERTIES.deposed,
    check: checkOf(controlModel('control', { storeOutages: 1, clockLags: 1 }, { margins: false })),
  },
  {
    name: 'no-margin',
    description: 'grants have no margin for clock drift',
    property: CONTROL_PROPERTIES.dispatch,
    check: checkOf(controlModel('control', { requests: 1, dispatcherLags: 1 }, { margins: false })),
  },
  {
    name: 'no-barrier',
    description: 'orders are sent without waiting for grants to expire or the engine to be idle',
    property: CONTROL_PROPERTIES.cut,
    check: checkOf(controlModel('control', { requests: 1 }, { barrier: false })),
  },
  {
    name: 'resend-without-read-back',
    description: 'a lost answer is treated as a refusal, and the order is issued again',
    property: CONTROL_PROPERTIES.conflicting,
    check: checkOf(controlModel('control', { kills: 1, lateMessages: 1 }, { readBack: false })),
  },
  {
    name: 'version-compare-dropped',
    description: 'the table applies writes without comparing row versions',
    property: CONTROL_PROPERTIES.deposed,
    check: checkOf(controlModel('control', {}, { versionCompare: false })),
  },
  {
    name: 'version-compare-dropped',
    description: 'a daemon puts a lower configuration version in force',
    property: CONFIGURATION_PROPERTY,
    check: checkOf(
      configurationModel(
        'configuration',
        { changes: 1, ticks: 1, slowTableAnswers: 1 },
        { versionCompare: false },
      ),
    ),
  },
  {
    name: 'claim-skipped',
    description: 'work is dispatched without claiming its idempotency key first',
    property: CLAIMS_PROPERTIES.once,
    check: checkOf(claimsModel('claims', {}, { claims: false })),
  },
  {
    name: 'not-run-after-dispatch',
    description: 'a broken connection is reported to the caller as work that was not run',
    property: CLAIMS_PROPERTIES.outcome,
    check: checkOf(
      claimsModel('claims', { breaks: 1, retryBudget: 0 }, { truthfulRefusals: false }),
    ),
  },
  {
    name: 'offset-check-dropped',
    description: 'frames are forwarded without checking their attempt and offset',
    property: STREAMS_PROPERTY,
    check: checkOf(streamsModel('streams', { repeated: 1 }, { offsetCheck: false })),
  },
  {
    name: 'leave-ignored',
    description: 'the router ignores that an engine is leaving',
    property: LEAVING_PROPERTY,
    check: checkOf(leavingModel('leaving', { respectsLeaving: false })),
  },
  {
    name: 'stop-without-drain',
    description: 'a stopping daemon exits at once',
    property: STOP_PROPERTY,
    check: checkOf(stopModel('stop', { drain: false })),
  },
];
