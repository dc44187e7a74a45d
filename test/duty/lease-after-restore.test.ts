/** Who holds a duty or a lease after the platform's store has come back from an older copy. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type DutyRecord, RecordLease, type RecordOutcome } from '../../src/core/duty/index.js';
import {
  epochOf,
  holdsAuthority,
  initialLeaseState,
  type LeaseEvent,
  stepLease,
} from '../../src/core/lease/index.js';
import type { TableCall, TableResult, TableRow } from '../../src/core/platform/table.js';
import { seededRandom } from '../gateway/support/seeded-random.js';

const LEASE_MS = 3_000;
/** Between the acts of two holders lies at least what each leaves for the drift of clocks. */
const MARGIN_MS = 300;
const TURN_MS = 2 * MARGIN_MS;
const STEP_MS = 50;
const PLAY_MS = 90_000;
const SEEDS = 60;
const DAEMONS = ['front-1', 'front-2', 'front-3'];

/** A store of rows whose versions come from one counter, which goes back as it comes back from a copy. */
class CopiedStore {
  isAway = false;
  #era = 0;
  #version = 1;
  #rows = new Map<string, TableRow>();

  copy(): () => void {
    const version = this.#version;
    const rows = new Map(this.#rows);
    return () => {
      this.#era += 1;
      this.#version = version;
      this.#rows = new Map(rows);
    };
  }

  call(call: TableCall): TableResult {
    if (this.isAway) return { kind: 'lost', reason: 'away' };
    const rowOf = (key: string) => this.#rows.get(key) ?? { key, version: 0, value: null };
    const era = this.#era;
    switch (call.kind) {
      case 'get':
        return { kind: 'rows', rows: call.keys.map(rowOf), era };
      case 'scan':
        return { kind: 'rows', rows: [], era };
      case 'transact': {
        const current = call.checks.map(({ key }) => rowOf(key));
        const holds = call.checks.every(
          ({ version }, index) => current[index]?.version === version,
        );
        if (!holds) return { kind: 'conflict', rows: current, era };
        this.#version += 1;
        const written = call.writes.map(({ key, value }) => ({
          key,
          value,
          version: this.#version,
        }));
        for (const row of written) this.#rows.set(row.key, row);
        return { kind: 'committed', rows: written, era };
      }
    }
  }
}

/** Something done under a fence. */
interface Act {
  readonly atMs: number;
  readonly daemon: string;
  readonly fence: number;
}

/** One daemon's part; each step may make a call, and says under which fence it may act. */
interface Holder {
  step(nowMs: number, wants: boolean): number | undefined;
}

function recordHolder(daemon: string, incarnation: number, store: CopiedStore): Holder {
  const key = 'duty';
  const lease = new RecordLease<DutyRecord>({ daemon, incarnation, leaseMs: LEASE_MS });
  const take = (call: TableCall, nowMs: number) => {
    lease.applyOutcome(outcomeOf(store.call(call)), nowMs, nowMs);
  };
  return {
    step: (nowMs, wants) => {
      if (!wants) return undefined;
      const seen = lease.current(nowMs);
      if (lease.mayAct(nowMs)) return lease.nextHead().fence;
      if (seen === undefined || !lease.mayWrite(nowMs)) {
        take({ kind: 'get', keys: [key] }, nowMs);
        return undefined;
      }
      const checks = [{ key, version: seen.version }];
      take({ kind: 'transact', checks, writes: [{ key, value: lease.nextHead() }] }, nowMs);
      return undefined;
    },
  };
}

function outcomeOf(result: TableResult): RecordOutcome<DutyRecord> {
  if (!('rows' in result)) return { kind: 'lost' };
  const row = result.rows[0];
  const isOwnWrite = result.kind === 'committed';
  const record = (row?.value ?? undefined) as DutyRecord | undefined;
  return { kind: 'seen', record, version: row?.version ?? 0, era: result.era ?? 0, isOwnWrite };
}

function leaseHolder(daemon: string, incarnation: number, store: CopiedStore): Holder {
  const settings = {
    resource: 'r',
    daemon,
    incarnation,
    durationMs: LEASE_MS,
    marginMs: MARGIN_MS,
  };
  let state = initialLeaseState(settings);
  const step = (event: LeaseEvent, nowMs: number) => {
    const { state: after, effects } = stepLease(state, event, { now: nowMs, entropy: 0 });
    state = after;
    for (const effect of effects) {
      if (effect.kind !== 'table') continue;
      step({ kind: 'table-result', token: effect.token, result: store.call(effect.call) }, nowMs);
    }
  };
  return {
    step: (nowMs, wants) => {
      step({ kind: 'want', candidate: wants }, nowMs);
      step({ kind: 'tick' }, nowMs);
      return holdsAuthority(state, nowMs) ? (epochOf(state) ?? undefined) : undefined;
    },
  };
}

/** Who takes part. */
interface Party {
  readonly name: string;
  readonly create: (daemon: string, incarnation: number, store: CopiedStore) => Holder;
  /** Whether one that no longer wants it hands it over at once. */
  readonly releases: boolean;
}

/** Daemons that want the duty, stop wanting it and start anew, and a store that comes back from copies some seconds old. */
function play({ create, releases }: Party, seed: number): readonly Act[] {
  const random = seededRandom(seed);
  const store = new CopiedStore();
  const holders = DAEMONS.map((daemon, index) => create(daemon, index, store));
  const acts: Act[] = [];
  const copies: (() => void)[] = [];
  let awayUntilMs = 0;
  let wanting = 7;
  let incarnations = DAEMONS.length;
  for (let nowMs = 1_000; nowMs < PLAY_MS; nowMs += STEP_MS) {
    if (!releases && random() < 0.01) wanting = Math.floor(random() * 8);
    if (random() < 0.002) {
      const restarted = Math.floor(random() * DAEMONS.length);
      incarnations += 1;
      holders[restarted] = create(DAEMONS[restarted] ?? '', incarnations, store);
    }
    copies.push(store.copy());
    if (store.isAway && nowMs >= awayUntilMs) {
      store.isAway = false;
      copies.at(-1 - Math.floor((random() * 6_000) / STEP_MS))?.();
    }
    if (!store.isAway && random() < 0.003) {
      store.isAway = true;
      awayUntilMs = nowMs + random() * 3_000;
    }
    for (const [index, holder] of holders.entries()) {
      const fence = holder.step(nowMs, ((wanting >> index) & 1) === 1);
      if (fence !== undefined) acts.push({ atMs: nowMs, daemon: DAEMONS[index] ?? '', fence });
    }
  }
  return acts;
}

/** What is wrong with acts: fences go down or are shared, or daemons take turns within a lease. */
function faultsOf(acts: readonly Act[]): readonly string[] {
  return acts.flatMap((act, index) => {
    const before = acts[index - 1];
    if (before === undefined || before.daemon === act.daemon) {
      return before !== undefined && act.fence < before.fence ? [`fence down at ${act.atMs}`] : [];
    }
    const faults: string[] = [];
    if (act.fence <= before.fence)
      faults.push(`fence ${act.fence} at ${act.atMs}, ${before.fence} before`);
    if (act.atMs - before.atMs < TURN_MS) faults.push(`turns within ${act.atMs - before.atMs} ms`);
    return faults;
  });
}

const PARTIES: readonly Party[] = [
  { name: 'duty', create: recordHolder, releases: false },
  { name: 'lease', create: leaseHolder, releases: true },
];

for (const party of PARTIES) {
  // The record was lost with the copy: another daemon took the duty at once, under a fence that had been used.
  test(`after the store came back from copies a ${party.name} is never held twice, and no fence comes again`, () => {
    const faults: string[] = [];
    let acts = 0;
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const played = play(party, seed);
      acts += played.length;
      for (const fault of faultsOf(played)) faults.push(`seed ${seed}: ${fault}`);
    }
    assert.ok(acts > SEEDS * 100, `only ${acts} acts`);
    assert.deepEqual(faults, []);
  });
}
