import assert from 'node:assert/strict';
import {
  holdsAuthority,
  initialLeaseState,
  type LeaseEvent,
  type LeaseState,
  stepLease,
} from '../../src/core/lease/index.js';
import type { TableCall, TableResult } from '../../src/core/platform/table.js';
import { applyCall, EMPTY_TABLE, type ModelTable } from '../../src/lab/model/table.js';

/** The resource that the tests compete for. */
export const RESOURCE = 'pool/labels';
const TICK_MS = 50;

/** How a call fails. `lost-before`: it has no effect; `lost-after`: it takes effect, but its answer is lost. */
type Fault = 'none' | 'down' | 'lost-before' | 'lost-after';

/** Daemons that compete for a lease in virtual time. Asserts that no two have authority at the same time. */
export class Harness {
  table: ModelTable = EMPTY_TABLE;
  now = 1_000;
  calls = 0;
  readonly states = new Map<string, LeaseState>();
  readonly faults = new Map<string, Fault>();

  constructor(
    readonly durationMs = 3_000,
    readonly marginMs = 300,
    readonly seed = 0,
  ) {}

  start(daemon: string, incarnation = 1): void {
    const { durationMs, marginMs } = this;
    const settings = { resource: RESOURCE, daemon, incarnation, durationMs, marginMs };
    this.states.set(daemon, initialLeaseState(settings));
    this.send(daemon, { kind: 'want', candidate: true });
  }

  state(daemon: string): LeaseState {
    const state = this.states.get(daemon);
    assert.ok(state);
    return state;
  }

  send(daemon: string, event: LeaseEvent): void {
    const context = { now: this.now, entropy: ((this.calls + this.seed) * 2_654_435_761) >>> 0 };
    const { state, effects } = stepLease(this.state(daemon), event, context);
    this.states.set(daemon, state);
    for (const effect of effects) {
      if (effect.kind !== 'table') continue;
      this.calls += 1;
      this.send(daemon, {
        kind: 'table-result',
        token: effect.token,
        result: this.answer(daemon, effect.call),
      });
    }
  }

  answer(daemon: string, call: TableCall): TableResult {
    const fault = this.faults.get(daemon) ?? 'none';
    if (fault === 'down') return { kind: 'unavailable', reason: 'down', retryAfterMs: 0 };
    if (fault === 'lost-before') return { kind: 'lost', reason: 'cut' };
    const { table, result } = applyCall(this.table, call);
    this.table = table;
    return fault === 'lost-after' ? { kind: 'lost', reason: 'cut' } : result;
  }

  run(milliseconds: number, daemons = [...this.states.keys()]): void {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.now += TICK_MS;
      for (const daemon of daemons) this.send(daemon, { kind: 'tick' });
      const holders = [...this.states.values()].filter((state) => holdsAuthority(state, this.now));
      assert.ok(holders.length <= 1, 'two daemons have authority at the same time');
    }
  }

  holder(): string | undefined {
    return [...this.states.keys()].find((name) => holdsAuthority(this.state(name), this.now));
  }
}
