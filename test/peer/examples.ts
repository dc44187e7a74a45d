/** Example values for tests of the communication between daemons. */
import type { EngineReport } from '../../src/core/registry/backend.js';

/** A report of an engine with one running request. */
export function someReport(engine: string, fields: Partial<EngineReport> = {}): EngineReport {
  return {
    engine,
    boot: 'boot-1',
    role: 'mixed',
    intake: 'open',
    busy: false,
    leaving: false,
    models: [{ model: 'labels', version: 'v1', adapters: [{ adapter: 'dutch', version: 'v2' }] }],
    fence: { epoch: 3, sequence: 1 },
    lastOrder: { id: 'order-1', state: 'done' },
    maxBatch: 32,
    activeRequests: 0,
    load: {
      ageMs: 100,
      running: 1,
      queued: 0,
      queuedPrefillTokens: 512,
      kvUsed: 0.25,
      prefillTokensPerSecond: 8_000,
      decodeStepMs: 20,
    },
    ...fields,
  };
}
