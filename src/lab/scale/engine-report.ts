/** The report with which every simulated engine answers a poll. */
import type { Milliseconds } from '../../core/common/time.js';
import type { EngineReport } from '../../core/registry/backend.js';

/** `load.ageMs` holds the virtual time of the poll, so that tests can check the daemons' conclusions. */
export function reportOf(engine: string, polledAt: Milliseconds): EngineReport {
  return {
    engine,
    boot: `${engine}-1764000000000`,
    role: 'mixed',
    intake: 'open',
    busy: false,
    leaving: false,
    models: [{ model: 'labels', version: 'v1', adapters: [{ adapter: 'dutch', version: 'v3' }] }],
    fence: { epoch: 3, sequence: 1 },
    lastOrder: null,
    maxBatch: 32,
    activeRequests: 3,
    load: {
      ageMs: polledAt,
      running: 3,
      queued: 1,
      queuedPrefillTokens: 900,
      kvUsed: 0.4,
      prefillTokensPerSecond: 9_000,
      decodeStepMs: 21,
    },
  };
}
