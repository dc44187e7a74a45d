/**
 * Guards against paces that waits alone produce: unreported waits gave equal engines different paces, work shifted back
 * and forth between them, and callers were served worse than with one pace for all. Paces must count in decisions only
 * while engines are shown to be heterogeneous.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FleetPaces, ReadSpeed } from '../../src/core/gateway/index.js';

const SERVICE = 's';
const ENGINES = 9;
const LINE = { weight: 10, x: 90_000, y: 1_800, xx: 900_000_000, xy: 18_000_000 };
const LATER_MS = 2_000;

function fleetPaces() {
  const speed = new ReadSpeed();
  const serviceOf = (id: string) => (id.startsWith('e') ? SERVICE : undefined);
  const paces = new FleetPaces({ use: 'where-unlike', speedOf: () => speed, serviceOf });
  return { speed, paces };
}

/** Estimates of other daemons for engines that have the given paces in turn. */
function estimatesOf(paces: readonly number[]) {
  const engines = Array.from({ length: ENGINES }, (_, place) => ({
    engineId: `e${place}`,
    logPace: Math.log(paces[place % paces.length] ?? 1),
    weight: 16,
  }));
  return { service: SERVICE, line: LINE, engines };
}

test('paces that differ no more than waits explain are not used in decisions', () => {
  const { speed, paces } = fleetPaces();
  paces.applyKnown([estimatesOf([1.25, 0.85, 1, 1.1, 0.9])], 0);
  paces.refresh(LATER_MS);
  assert.equal(paces.isUsedFor(SERVICE), false);
  assert.equal(paces.pacesOf(SERVICE)('e0'), 1);
  assert.equal(paces.quantizedPacesOf(SERVICE)('e0'), 1);
  assert.deepEqual(paces.takeChanges(10), []);
  assert.equal(speed.isLearnt, false, "the received line does not replace this daemon's own");
});

test('while engines are homogeneous, the line is learnt from reads as without paces', () => {
  const { speed, paces } = fleetPaces();
  const alone = new ReadSpeed();
  paces.applyKnown([estimatesOf([1.25, 0.85, 1, 1.1, 0.9])], 0);
  for (let turn = 0; turn < 20; turn += 1) {
    const [tokens, elapsedMs] = [2_000 + 400 * turn, 60 + 9 * turn];
    const server = { id: `e${turn % ENGINES}`, service: SERVICE };
    paces.learnPrefill(server, tokens, { elapsedMs, waitMs: 0 }, turn);
    alone.learnPrefill(tokens, elapsedMs);
  }
  assert.equal(speed.prefillMs(9_000), alone.prefillMs(9_000));
});

test('decisions on heterogeneous engines use their paces and the line learnt with them', () => {
  const { speed, paces } = fleetPaces();
  const estimates = estimatesOf([0.7, 0.7, 1.7]);
  paces.applyKnown([estimates], 0);
  paces.refresh(LATER_MS);
  paces.applyKnown([estimates], LATER_MS);
  assert.equal(paces.isUsedFor(SERVICE), true);
  assert.ok(paces.pacesOf(SERVICE)('e2') > 1.5);
  assert.ok(paces.pacesOf(SERVICE)('e0') < 0.8);
  assert.equal(speed.isLearnt, true);
});

test('paces are no longer used once engines are homogeneous again', () => {
  const { paces } = fleetPaces();
  paces.applyKnown([estimatesOf([0.7, 0.7, 1.7])], 0);
  paces.refresh(LATER_MS);
  paces.applyKnown([estimatesOf([1])], LATER_MS);
  paces.refresh(2 * LATER_MS);
  assert.equal(paces.isUsedFor(SERVICE), false);
});

test('three observed engines are too few to count the fleet as heterogeneous', () => {
  const { paces } = fleetPaces();
  const { engines, ...rest } = estimatesOf([0.7, 0.7, 1.7]);
  paces.applyKnown([{ ...rest, engines: engines.slice(0, 3) }], 0);
  paces.refresh(LATER_MS);
  assert.equal(paces.isUsedFor(SERVICE), false);
});
