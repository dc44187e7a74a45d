/** A daemon whose clock jumps ahead took over a lease that another one still held. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { holdsAuthority, type LeaseEvent, stepLease } from '../../src/core/lease/index.js';
import { Harness } from './support.js';

const TICK_MS = 50;
const JUMP_MS = 5_000;
const RENEWAL_MS = 1_000;

/** Daemons with clocks of their own. */
class SkewedHarness extends Harness {
  readonly aheadMs = new Map<string, number>();

  nowOf(daemon: string): number {
    return this.now + (this.aheadMs.get(daemon) ?? 0);
  }

  override send(daemon: string, event: LeaseEvent): void {
    const context = { now: this.nowOf(daemon), entropy: (this.calls * 2_654_435_761) >>> 0 };
    const { state, effects } = stepLease(this.state(daemon), event, context);
    this.states.set(daemon, state);
    for (const effect of effects) {
      if (effect.kind !== 'table') continue;
      this.calls += 1;
      const result = this.answer(daemon, effect.call);
      this.send(daemon, { kind: 'table-result', token: effect.token, result });
    }
  }

  /** Runs both daemons; returns how many had authority at once, at most. */
  runSkewed(spanMs: number): number {
    let most = 0;
    for (const endMs = this.now + spanMs; this.now < endMs; ) {
      this.now += TICK_MS;
      for (const daemon of this.states.keys()) this.send(daemon, { kind: 'tick' });
      const holders = [...this.states].filter(([name, state]) =>
        holdsAuthority(state, this.nowOf(name)),
      );
      most = Math.max(most, holders.length);
    }
    return most;
  }
}

for (let jumpAfterMs = 0; jumpAfterMs < RENEWAL_MS; jumpAfterMs += 5 * TICK_MS) {
  // Guards against an observer that counts a jump of its clock as time in which the holder renewed nothing.
  test(`no two daemons hold a lease as the clock of one jumps ${jumpAfterMs} ms later`, () => {
    const harness = new SkewedHarness();
    harness.start('a');
    harness.runSkewed(300);
    harness.start('b');
    harness.runSkewed(5_000 + jumpAfterMs);
    assert.equal(harness.holder(), 'a');
    harness.aheadMs.set('b', JUMP_MS);
    assert.equal(harness.runSkewed(5_000), 1);
  });
}
