import {
  configurationSchema,
  type VersionedConfiguration,
} from '../../src/core/configuration/document.js';
import type { EngineMachine, EngineReport, EngineView } from '../../src/core/registry/backend.js';
import {
  type EngineChoiceInput,
  expectedFinish,
  FleetIndex,
  type ModelTarget,
  OutlierTracker,
  OutstandingTable,
  PrefixIndex,
} from '../../src/core/routing/index.js';

/** A live engine machine. */
export function machine(name: string, changes: Partial<EngineMachine> = {}): EngineMachine {
  const base = { name, zone: 'a', state: 'live', address: '127.0.0.1', port: 1 } as const;
  return { kind: 'engine', accelerator: 'new', ...base, ...changes };
}

/** A report of an idle engine that holds `labels` v1. */
export function report(engine: string, changes: Partial<EngineReport> = {}): EngineReport {
  return {
    engine,
    boot: 'boot',
    role: 'mixed',
    intake: 'open',
    busy: false,
    leaving: false,
    models: [{ model: 'labels', version: 'v1', adapters: [{ adapter: 'latin', version: 'a1' }] }],
    fence: null,
    lastOrder: null,
    maxBatch: 16,
    activeRequests: 0,
    load: {
      ageMs: 0,
      running: 0,
      queued: 0,
      queuedPrefillTokens: 0,
      kvUsed: 0,
      prefillTokensPerSecond: 4_000,
      decodeStepMs: 20,
    },
    ...changes,
  };
}

/** A view of an engine, with a dispatch grant until 2,000 ms. */
export function view(engine: EngineReport | string, changes: Partial<EngineView> = {}): EngineView {
  const stated = typeof engine === 'string' ? report(engine) : engine;
  return {
    machine: machine(stated.engine),
    report: stated,
    reportedAt: 0,
    grantedUntil: 2_000,
    watcher: 'daemon',
    ...changes,
  };
}

/** A configuration that serves `labels` with adapter `latin`. */
export function configuration(changes: object = {}, version = 1): VersionedConfiguration {
  const models = { labels: { version: 'v1', adapters: { latin: { version: 'a1' } } } };
  return { version, document: configurationSchema.parse({ models, ...changes }) };
}

/** A fleet index with a configuration and views. */
export function createIndex(views: readonly EngineView[], changes: object = {}): FleetIndex {
  const index = new FleetIndex();
  index.setConfiguration(configuration(changes));
  for (const known of views) {
    index.setView(known);
  }
  return index;
}

/** A target with 100 prompt tokens and 10 output tokens. */
export function target(changes: Partial<ModelTarget> = {}): ModelTarget {
  const base = { model: 'labels', adapter: null, promptTokens: 100, maxOutputTokens: 10 };
  return { kind: 'model', ...base, prefixHashes: [], ...changes };
}

/** The input of a decision at 1,000 ms. */
export function choiceInput(
  index: FleetIndex,
  changes: Partial<EngineChoiceInput> = {},
): EngineChoiceInput {
  return {
    index,
    target: target(),
    excluded: new Set(),
    zone: 'a',
    outstanding: new OutstandingTable(),
    outliers: new OutlierTracker(),
    prefixes: new PrefixIndex(),
    context: { now: 1_000, entropy: 7 },
    policy: expectedFinish(),
    version: null,
    ...changes,
  };
}
