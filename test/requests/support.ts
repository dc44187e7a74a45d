/** A request table in virtual time, with a fake table service that tests can make fail. */
import { type Fault, refusedNotRun } from '../../src/core/errors/fault.js';
import type { TableEffect, TableResult, TableRow } from '../../src/core/platform/table.js';
import {
  type AttemptEvent,
  type RequestDescription,
  RequestTable,
  type RequestTableContext,
  type RequestTableEffect,
  type RequestTableEvent,
  type RouteChoice,
} from '../../src/core/requests/index.js';

/** How the table service answers: `lost-before` and `lost-after` lose the call or the answer. */
export type StoreMode = 'up' | 'down' | 'lost-before' | 'lost-after';

/** A fake table service, shared by the daemons of a test. */
export class FakeStore {
  readonly rows = new Map<string, TableRow>();
  mode: StoreMode = 'up';

  call(effect: TableEffect): TableResult {
    if (this.mode === 'down') return { kind: 'unavailable', reason: 'down', retryAfterMs: 700 };
    if (this.mode === 'lost-before') return { kind: 'lost', reason: 'reset' };
    const result = this.#execute(effect);
    return this.mode === 'lost-after' ? { kind: 'lost', reason: 'reset' } : result;
  }

  #execute({ call }: TableEffect): TableResult {
    if (call.kind === 'get') {
      return { kind: 'rows', rows: call.keys.map((key) => this.#row(key)) };
    }
    if (call.kind === 'scan') throw new Error('the request table does not scan');
    const failed = call.checks.filter((check) => this.#row(check.key).version !== check.version);
    if (failed.length > 0) {
      return { kind: 'conflict', rows: failed.map((check) => this.#row(check.key)) };
    }
    const written = call.writes.map((write) => this.#write(write.key, write.value));
    return { kind: 'committed', rows: written };
  }

  #row(key: string): TableRow {
    const row = this.rows.get(key);
    if (row === undefined || row.value === null) return { key, version: 0, value: null };
    return row;
  }

  #write(key: string, value: unknown): TableRow {
    const row = { key, version: (this.rows.get(key)?.version ?? 0) + 1, value };
    this.rows.set(key, row);
    return row;
  }
}

/** One daemon's request table, driven step by step by a test. */
export class Daemon {
  readonly table = new RequestTable();
  readonly effects: RequestTableEffect[] = [];
  now = 0;
  backends = ['a', 'b', 'c', 'd', 'e'];
  choice: RouteChoice['kind'] = 'dispatch';
  endedDaemons = new Set<string>();
  /** The version requested in each call of `choose`. */
  readonly requestedVersions: (string | null)[] = [];

  constructor(
    readonly name = 'd1',
    readonly store = new FakeStore(),
  ) {}

  /** Applies an event and answers the resulting table calls until none is left. */
  feed(event: RequestTableEvent): readonly RequestTableEffect[] {
    const from = this.effects.length;
    const queue: RequestTableEvent[] = [event];
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      for (const effect of this.table.step(next, this.#context())) {
        this.effects.push(effect);
        if (effect.kind === 'table') {
          queue.push({
            kind: 'table-result',
            token: effect.token,
            result: this.store.call(effect),
          });
        }
      }
    }
    return this.effects.slice(from);
  }

  arrive(request: RequestDescription): readonly RequestTableEffect[] {
    return this.feed({ kind: 'request-arrived', description: request });
  }

  /** Reports an event of the last dispatched attempt of a request. */
  report(request: RequestDescription, event: DistributiveOmit<AttemptEvent, 'attempt'>) {
    const attempt = this.dispatches(request).at(-1)?.attempt ?? 'none';
    return this.feed({
      kind: 'attempt',
      request: request.id,
      event: { ...event, attempt } as AttemptEvent,
    });
  }

  tick(now: number): readonly RequestTableEffect[] {
    this.now = now;
    return this.feed({ kind: 'tick' });
  }

  dispatches(request: RequestDescription) {
    return this.effects.filter(
      (effect) => effect.kind === 'dispatch' && effect.request === request.id,
    ) as Extract<RequestTableEffect, { kind: 'dispatch' }>[];
  }

  /** The fault in the caller's final answer, or undefined when there is none. */
  fault(request: RequestDescription): Fault | undefined {
    for (const effect of this.effects) {
      const failed = effect.kind === 'refuse' || effect.kind === 'abort';
      if (failed && effect.request === request.id) return effect.fault;
    }
    return undefined;
  }

  kinds(effects: readonly RequestTableEffect[] = this.effects): string[] {
    return effects.map((effect) => effect.kind);
  }

  #context(): RequestTableContext {
    return {
      now: this.now,
      entropy: 2 ** 31,
      daemon: this.name,
      incarnation: 1,
      choose: (_description, excluded, version) => {
        this.requestedVersions.push(version);
        return this.#choose(excluded);
      },
      priorityOf: () => 1,
      retryAfterMs: () => 2_500,
      hasIncarnationEnded: (daemon) => this.endedDaemons.has(daemon),
    };
  }

  #choose(excluded: readonly string[]): RouteChoice {
    if (this.choice === 'wait') return { kind: 'wait' };
    const backend = this.backends.find((name) => !excluded.includes(name));
    if (this.choice === 'refuse' || backend === undefined) {
      return { kind: 'refuse', fault: refusedNotRun('no-backend', 'none', { retryAfterMs: 100 }) };
    }
    return { kind: 'dispatch', backend, address: '127.0.0.1', port: 1 };
  }
}

type DistributiveOmit<Type, Key extends PropertyKey> = Type extends unknown
  ? Omit<Type, Key>
  : never;

let counter = 0;

/** A request, by default to a model and without an idempotency key. */
export function request(overrides: Partial<RequestDescription> = {}): RequestDescription {
  counter += 1;
  return {
    id: `d1-1-${counter}`,
    tenant: 'scanhuis',
    className: 'interactive',
    target: {
      kind: 'model',
      model: 'labels',
      adapter: null,
      promptTokens: 10,
      maxOutputTokens: 10,
      prefixHashes: [],
    },
    streamed: false,
    repeatable: true,
    idempotencyKey: null,
    bodyDigest: null,
    arrivedAt: 0,
    deadline: 30_000,
    ...overrides,
  };
}

/** A request to a web service, with an idempotency key, by default not repeatable. */
export function keyedRequest(overrides: Partial<RequestDescription> = {}): RequestDescription {
  return request({
    target: { kind: 'web', service: 'orders' },
    repeatable: false,
    idempotencyKey: 'key-1',
    bodyDigest: 'digest-1',
    ...overrides,
  });
}

export const COMPLETED = { kind: 'completed', promptTokens: 1, outputTokens: 2 } as const;
