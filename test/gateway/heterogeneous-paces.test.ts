/**
 * Paces of equal engines were believed from waits that nobody had told of: work went to and fro between engines that
 * were as fast as each other, and callers were served worse than with one pace for all. Paces count in decisions only
 * once engines are shown to be unlike, and no more once they are alike again.
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

/** What others know of engines of the given paces, in turn. */
function toldOf(paces: readonly number[]) {
  const engines = Array.from({ length: ENGINES }, (_, place) => ({
    engineId: `e${place}`,
    logPace: Math.log(paces[place % paces.length] ?? 1),
    weight: 16,
  }));
  return { service: SERVICE, line: LINE, engines };
}

test('engines that differ as waits make them differ are decided on as one pace', () => {
  const { speed, paces } = fleetPaces();
  paces.applyKnown([toldOf([1.25, 0.85, 1, 1.1, 0.9])], 0);
  paces.refresh(LATER_MS);
  assert.equal(paces.isUsedFor(SERVICE), false);
  assert.equal(paces.pacesOf(SERVICE)('e0'), 1);
  assert.equal(paces.quantizedPacesOf(SERVICE)('e0'), 1);
  assert.deepEqual(paces.takeChanges(10), []);
  assert.equal(speed.isLearnt, false, "the line of others is not this daemon's");
});

test('while they are alike a read teaches the line as if there were no paces', () => {
  const { speed, paces } = fleetPaces();
  const alone = new ReadSpeed();
  paces.applyKnown([toldOf([1.25, 0.85, 1, 1.1, 0.9])], 0);
  for (let turn = 0; turn < 20; turn += 1) {
    const [tokens, elapsedMs] = [2_000 + 400 * turn, 60 + 9 * turn];
    const server = { id: `e${turn % ENGINES}`, service: SERVICE };
    paces.learnPrefill(server, tokens, { elapsedMs, waitMs: 0 }, turn);
    alone.learnPrefill(tokens, elapsedMs);
  }
  assert.equal(speed.prefillMs(9_000), alone.prefillMs(9_000));
});

test('engines of unlike machines are decided on by their paces, and by the line that belongs to these', () => {
  const { speed, paces } = fleetPaces();
  const told = toldOf([0.7, 0.7, 1.7]);
  paces.applyKnown([told], 0);
  paces.refresh(LATER_MS);
  paces.applyKnown([told], LATER_MS);
  assert.equal(paces.isUsedFor(SERVICE), true);
  assert.ok(paces.pacesOf(SERVICE)('e2') > 1.5);
  assert.ok(paces.pacesOf(SERVICE)('e0') < 0.8);
  assert.equal(speed.isLearnt, true);
});

test('once they are alike again there is one pace again', () => {
  const { paces } = fleetPaces();
  paces.applyKnown([toldOf([0.7, 0.7, 1.7])], 0);
  paces.refresh(LATER_MS);
  paces.applyKnown([toldOf([1])], LATER_MS);
  paces.refresh(2 * LATER_MS);
  assert.equal(paces.isUsedFor(SERVICE), false);
});

test('a few engines that were seen say nothing of how unlike they all are', () => {
  const { paces } = fleetPaces();
  const { engines, ...rest } = toldOf([0.7, 0.7, 1.7]);
  paces.applyKnown([{ ...rest, engines: engines.slice(0, 3) }], 0);
  paces.refresh(LATER_MS);
  assert.equal(paces.isUsedFor(SERVICE), false);
});
