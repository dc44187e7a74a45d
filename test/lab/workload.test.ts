/** Workload generation: deterministic by seed, with the defined rates and sizes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type Arrival,
  arrivals,
  promptText,
  type Workload,
  withScaledDurations,
  workloadSchema,
} from '../../src/lab/workload/index.js';

function workload(seed: number): Workload {
  return workloadSchema.parse({
    name: 'shift',
    seed,
    sources: [
      {
        kind: 'model',
        name: 'labels',
        model: 'labels',
        adapters: ['latin', 'dutch'],
        promptTokens: { kind: 'lognormal', median: 400, sigma: 0.5, low: 100, high: 900 },
        outputTokens: { kind: 'uniform', low: 10, high: 20 },
        sharedPrefixes: 3,
        prefixTokens: 64,
      },
      { kind: 'web-order', name: 'orders', path: '/orders/renewal', keyedShare: 0.5 },
    ],
    phases: [
      { name: 'night', durationMs: 20_000, rates: { labels: 50 } },
      { name: 'dawn', durationMs: 20_000, rates: { labels: { from: 50, to: 0 }, orders: 40 } },
    ],
  });
}

const of = (all: readonly Arrival[], source: string, phase: string) =>
  all.filter((arrival) => arrival.source.name === source && arrival.phase === phase);

test('equal seeds give equal requests and different seeds give different ones', () => {
  const first = [...arrivals(workload(7))];
  assert.deepEqual(first, [...arrivals(workload(7))]);
  assert.notDeepEqual(
    first.slice(0, 5).map(({ atMs }) => atMs),
    [...arrivals(workload(8))].slice(0, 5).map(({ atMs }) => atMs),
  );
});

test('arrivals are ordered by time, numbered, and follow the rates of the phases', () => {
  const all = [...arrivals(workload(1))];
  assert.ok(all.every(({ index, atMs }, n) => index === n && atMs >= (all[n - 1]?.atMs ?? 0)));
  const assertNear = (count: number, mean: number) =>
    assert.ok(Math.abs(count - mean) < 4 * Math.sqrt(mean), `${count} of about ${mean}`);
  assertNear(of(all, 'labels', 'night').length, 1_000);
  assertNear(of(all, 'labels', 'dawn').length, 500);
  assertNear(of(all, 'orders', 'dawn').length, 800);
  assert.equal(of(all, 'orders', 'night').length, 0);
  const early = of(all, 'labels', 'dawn').filter(({ atMs }) => atMs < 30_000).length;
  assertNear(early, 375);
});

test('changing one source leaves the arrival times of the others unchanged', () => {
  const plain = workload(3);
  const changed = { ...plain, phases: plain.phases.map((p) => ({ ...p, rates: { ...p.rates } })) };
  for (const phase of changed.phases) phase.rates.labels = 5;
  const times = (w: Workload) => of([...arrivals(w)], 'orders', 'dawn').map(({ atMs }) => atMs);
  assert.deepEqual(times(changed), times(plain));
});

test('prompts have the described length and share the defined number of prefixes', () => {
  const prompts = [...arrivals(workload(1))].flatMap(({ request }) =>
    request.kind === 'model' ? [request.prompt] : [],
  );
  assert.ok(prompts.every(({ tokens }) => tokens >= 100 && tokens <= 900));
  const prefixes = new Set(prompts.slice(0, 50).map((p) => promptText(p).slice(0, 4 * 64)));
  assert.equal(prefixes.size, 3);
  const texts = prompts.slice(0, 50).map(promptText);
  assert.equal(new Set(texts).size, 50);
  assert.deepEqual(
    texts.map((text) => text.length),
    prompts.slice(0, 50).map(({ tokens }) => 4 * tokens),
  );
});

test('a rate for an unknown source is rejected; scaling the durations keeps the rates', () => {
  const bad = { ...workload(1), phases: [{ name: 'x', durationMs: 1, rates: { lables: 1 } }] };
  assert.match(workloadSchema.safeParse(bad).error?.message ?? '', /lables, which is no source/);
  const half = withScaledDurations(workload(1), 0.5);
  assert.deepEqual(
    half.phases.map(({ durationMs }) => durationMs),
    [10_000, 10_000],
  );
  assert.deepEqual(half.phases[1]?.rates, workload(1).phases[1]?.rates);
});
