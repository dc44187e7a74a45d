/**
 * Symptom: as in `retry-budget-births.test.ts`, more repeats in a window than all daemons together may make.
 *
 * Sequence: a part of the fleet is silent towards its zone's relay for long, so that their rows are taken out of the
 * list of daemons, while they still serve callers; or daemons start together, and the first list that each
 * reads lacks those that have not written their rows yet. Then engines turn requests away.
 *
 * Cause: a daemon took its share of the slack by the last list that it had read, so a list that was short made the
 * shares larger than the slack: 59 daemons that believe in 15 sent 1,109 repeats of 958 in the worst window.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RetryBudgetFleet, worstWindow } from './support/retry-budget-fleet.js';

const OPTIONS = { ratio: 0.2, slack: 158 };
const DAEMONS = 59;
const REQUEST_GAP_MS = 2.5;
const WELL_MS = 20_000;
const RUN_MS = 40_000;
const EVERY_DAEMON = Array.from({ length: DAEMONS }, (_, daemon) => daemon);

/** Requests that a first server takes, so that repeats are saved up; then all are turned away. */
function playFrom(fleet: RetryBudgetFleet): void {
  for (let request = 0; request * REQUEST_GAP_MS < RUN_MS; request += 1) {
    const nowMs = request * REQUEST_GAP_MS;
    fleet.request(request, nowMs < WELL_MS ? 0 : 4, nowMs);
  }
}

function assertWithinBound(fleet: RetryBudgetFleet, course: string): void {
  const { repeats, allowed } = worstWindow(fleet.observed, OPTIONS);
  assert.ok(repeats <= allowed, `${course}: ${repeats} repeats of ${allowed}`);
}

test('daemons whose list is short keep the bound', () => {
  for (const listed of [30, 15, 1]) {
    const shrinking = new RetryBudgetFleet(OPTIONS, DAEMONS);
    for (const daemon of EVERY_DAEMON) {
      for (const length of [DAEMONS, DAEMONS, listed]) shrinking.readList(daemon, length);
    }
    playFrom(shrinking);
    assertWithinBound(shrinking, `a list that shrank to ${listed}`);

    const starting = new RetryBudgetFleet(OPTIONS, DAEMONS);
    for (const daemon of EVERY_DAEMON) starting.readList(daemon, listed);
    playFrom(starting);
    assertWithinBound(starting, `a first list of ${listed}, and none after it`);
  }
});
