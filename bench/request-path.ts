/**
 * Benchmark of the state handling of one complete request, without I/O: arrival and dispatch, first
 * byte, and completion, through `Traffic` as the daemon drives it.
 */
import { configurationSchema } from '../src/core/configuration/document.js';
import { Traffic } from '../src/core/daemon/traffic.js';
import { createMembership } from '../src/core/membership/index.js';
import type { EngineView } from '../src/core/registry/backend.js';
import type { RequestDescription, RequestTableEffect } from '../src/core/requests/index.js';
import { type OperationTimes, timeOperations } from './measure.js';

const REQUESTS = 50_000;
const ENGINES = 8;
const PREFIX_BLOCKS = 6;
const GRANTED_UNTIL = 1e12;

/** One line of the result. */
export interface RequestPathTimes extends OperationTimes {
  readonly case: string;
}

/** Measures complete requests from arrival to end. */
export function benchRequestPath(): RequestPathTimes[] {
  const traffic = createTraffic();
  let description = describe(0);
  const between = (turn: number) => {
    description = describe(turn);
  };
  const operation = (turn: number) => runRequest(traffic, description, turn);
  return [{ case: 'whole request', ...timeOperations(REQUESTS, operation, between) }];
}

function runRequest(traffic: Traffic, description: RequestDescription, now: number): void {
  const context = { now, entropy: Math.imul(now, 0x9e3779b9) >>> 0 };
  const request = description.id;
  const effects = traffic.step({ kind: 'request-arrived', description }, context);
  const attempt = attemptOf(effects);
  const firstByte = { kind: 'first-byte', attempt, status: 200 } as const;
  traffic.step({ kind: 'attempt', request, event: firstByte }, context);
  const usage = { promptTokens: 400, outputTokens: 50 };
  const completed = { kind: 'completed', attempt, ...usage } as const;
  traffic.step({ kind: 'attempt', request, event: completed }, context);
}

function attemptOf(effects: readonly RequestTableEffect[]): string {
  for (const effect of effects) {
    if (effect.kind === 'dispatch') {
      return effect.attempt;
    }
  }
  throw new Error(
    'the request was not dispatched; adapt the benchmark to the current request path',
  );
}

function createTraffic(): Traffic {
  const endpoint = { address: '127.0.0.1', port: 1 };
  const self = { name: 'daemon-1', zone: 'a', incarnation: 1, endpoint };
  const membership = createMembership(self, []);
  const options = { daemon: 'daemon-1', incarnation: 1, zone: 'a', maxWaitingPerClass: 8_192 };
  const traffic = new Traffic({ ...options, membership });
  const models = { labels: { version: 'v1' } };
  const tenants = { bench: { class: 'interactive' } };
  traffic.configure({ version: 1, document: configurationSchema.parse({ models, tenants }) });
  for (let place = 0; place < ENGINES; place += 1) {
    traffic.setView(viewOf(place));
  }
  return traffic;
}

function describe(turn: number): RequestDescription {
  const prefixHashes = Array.from({ length: PREFIX_BLOCKS }, (_, block) => `${turn}.${block}`);
  const tokens = { promptTokens: 400, maxOutputTokens: 50 };
  return {
    id: `daemon-1-1-${turn}`,
    tenant: 'bench',
    className: 'interactive',
    target: { kind: 'model', model: 'labels', adapter: null, ...tokens, prefixHashes },
    streamed: false,
    repeatable: true,
    idempotencyKey: null,
    bodyDigest: null,
    arrivedAt: turn,
    deadline: turn + 30_000,
  };
}

function viewOf(place: number): EngineView {
  const name = `engine-${place}`;
  const machine = { name, zone: 'a', state: 'live', accelerator: 'new' } as const;
  const load = { running: 8, queued: 0, queuedPrefillTokens: 500, kvUsed: 0.5 };
  return {
    machine: { kind: 'engine', ...machine, address: '127.0.0.1', port: 1 },
    report: {
      engine: name,
      boot: name,
      role: 'mixed',
      intake: 'open',
      busy: false,
      leaving: false,
      models: [{ model: 'labels', version: 'v1', adapters: [] }],
      fence: null,
      lastOrder: null,
      maxBatch: 64,
      activeRequests: 8,
      load: { ageMs: 300, ...load, prefillTokensPerSecond: 20_000, decodeStepMs: 20 },
    },
    reportedAt: 0,
    grantedUntil: GRANTED_UNTIL,
    watcher: null,
  };
}
