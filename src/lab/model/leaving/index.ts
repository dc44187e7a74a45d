/**
 * The leaving model: one engine that leaves by its own report, by the machine list or by an operator's
 * command, and one daemon that learns of it late, or not at all, and routes with the production router.
 */
import { configurationSchema } from '../../../core/configuration/document.js';

import type { EngineMachine, EngineReport } from '../../../core/registry/backend.js';
import { grantEnd } from '../../../core/registry/grant.js';
import {
  chooseEngine,
  expectedFinish,
  FleetIndex,
  OutlierTracker,
  OutstandingTable,
  PrefixIndex,
} from '../../../core/routing/index.js';
import { reportOf, startedEngine } from '../engine.js';
import type { Model, Outcome, Violation } from '../explorer.js';

/** The name of the leaving model's property. */
export const LEAVING_PROPERTY = '7 a leaving back end receives new work';

/** Protections that a mutation removes. */
export interface LeavingProtections {
  /** The daemon takes into account that an engine is leaving. */
  readonly respectsLeaving: boolean;
}

/** How long after an engine has reported that it leaves new work may still be sent to it. */
const LEAVE_LIMIT_MS = 3_000;
const TICK_MS = 500;
const HORIZON_MS = 6_000;

const MACHINE: EngineMachine = {
  kind: 'engine',
  name: 'engine-1',
  zone: 'leiden-a',
  state: 'live',
  address: '127.0.0.1',
  port: 1,
  accelerator: 'new',
};

interface LeavingWorld {
  readonly now: number;
  /** When the engine began to report that it leaves; null before. */
  readonly leftAt: number | null;
  /** The engine's state in the machine list that the daemon read last. */
  readonly listed: 'live' | 'leaving';
  readonly drained: boolean;
  /** The last report that the daemon received, and below the time at which it was requested. */
  readonly report: EngineReport | null;
  readonly requestedAt: number;
  readonly dispatched: boolean;
}

interface LeavingStep {
  readonly kind: 'tick' | 'leave' | 'list-leaving' | 'drain' | 'poll' | 'dispatch';
}

/** Builds the leaving model. */
export function leavingModel(
  name: string,
  protections: LeavingProtections = { respectsLeaving: true },
): Model<LeavingWorld, LeavingStep> {
  return {
    name,
    initial: {
      now: 0,
      leftAt: null,
      listed: 'live',
      drained: false,
      report: null,
      requestedAt: 0,
      dispatched: false,
    },
    steps: (world) => stepsOf(world, protections),
    apply: applyStep,
    key: (world) => JSON.stringify(world),
    describe: ({ kind }) => kind,
    goals: ({ dispatched, leftAt }) => [
      ...(dispatched ? ['dispatched'] : []),
      ...(leftAt === null ? [] : ['left']),
    ],
  };
}

function stepsOf(world: LeavingWorld, protections: LeavingProtections): LeavingStep[] {
  const steps: LeavingStep[] = [{ kind: 'poll' }];
  if (world.now < HORIZON_MS) steps.push({ kind: 'tick' });
  if (world.leftAt === null) steps.push({ kind: 'leave' });
  if (world.listed === 'live') steps.push({ kind: 'list-leaving' });
  if (!world.drained) steps.push({ kind: 'drain' });
  if (routesToEngine(world, protections)) steps.push({ kind: 'dispatch' });
  return steps;
}

function applyStep(world: LeavingWorld, { kind }: LeavingStep): Outcome<LeavingWorld> {
  switch (kind) {
    case 'tick':
      return { world: { ...world, now: world.now + TICK_MS }, violations: [] };
    case 'leave':
      return { world: { ...world, leftAt: world.now }, violations: [] };
    case 'list-leaving':
      return { world: { ...world, listed: 'leaving' }, violations: [] };
    case 'drain':
      return { world: { ...world, drained: true }, violations: [] };
    case 'poll': {
      const report = { ...reportOf(ENGINE), leaving: world.leftAt !== null };
      return { world: { ...world, report, requestedAt: world.now }, violations: [] };
    }
    case 'dispatch':
      return { world: { ...world, dispatched: true }, violations: violationsOf(world) };
  }
}

const ENGINE = startedEngine(MACHINE.name, 1, [{ model: 'labels', version: '1', adapters: [] }]);

/** Whether the production router would send a request to the engine now. */
function routesToEngine(world: LeavingWorld, protections: LeavingProtections): boolean {
  const { respectsLeaving } = protections;
  const state = respectsLeaving ? world.listed : 'live';
  const machine = { ...MACHINE, state };
  const index = new FleetIndex();
  const backends = world.drained && respectsLeaving ? { [MACHINE.name]: { drained: true } } : {};
  const document = configurationSchema.parse({ models: { labels: { version: '1' } }, backends });
  index.setConfiguration({ version: 1, document });
  index.setMachines([machine]);
  if (world.report !== null) {
    const leaving = world.report.leaving && respectsLeaving;
    index.setView({
      machine,
      report: { ...world.report, leaving },
      reportedAt: world.requestedAt,
      grantedUntil: grantEnd(world.requestedAt),
      watcher: null,
    });
  }
  const decision = chooseEngine({
    index,
    target: {
      kind: 'model',
      model: 'labels',
      adapter: null,
      promptTokens: 10,
      maxOutputTokens: 10,
      prefixHashes: [],
    },
    excluded: new Set(),
    zone: MACHINE.zone,
    outstanding: new OutstandingTable(),
    outliers: new OutlierTracker(),
    prefixes: new PrefixIndex(),
    context: { now: world.now, entropy: 0 },
    policy: expectedFinish(),
    version: null,
    explain: false,
  });
  return decision.kind === 'chosen';
}

function violationsOf(world: LeavingWorld): Violation[] {
  const { now, leftAt, listed, drained } = world;
  const causes: string[] = [];
  if (leftAt !== null && now >= leftAt + LEAVE_LIMIT_MS) {
    causes.push(`${now - leftAt} ms after it reported that it is leaving`);
  }
  if (listed === 'leaving')
    causes.push('although the machine list that was read lists it as leaving');
  if (drained) causes.push('although the configuration in force drains it');
  return causes.map((cause) => {
    return { property: LEAVING_PROPERTY, detail: `work is sent to the engine ${cause}` };
  });
}
