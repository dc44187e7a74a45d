/**
 * Guards against exceeding the fleet's bound on repeats when lists of daemons are incomplete. Daemons that the relay of
 * their zone cannot hear for long are removed from the list although they still serve callers; and the first list that
 * is read after a common start lacks the daemons that have not written their rows yet. Then engines refuse requests.
 *
 * In the fault, a daemon computed its share of the slack from the last list that it had read, so that with a short list
 * the shares added up to more than the slack: 59 daemons whose list had 15 sent 1,109 repeats in a window that allowed
 * 958.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RetryBudgetFleet, worstWindow } from './support/retry-budget-fleet.js';

const OPTIONS = { ratio: 0.2, slack: 158 };
const DAEMONS = 59;
const REQUEST_GAP_MS = 2.5;
const HEALTHY_MS = 20_000;
const RUN_MS = 40_000;
const EVERY_DAEMON = Array.from({ length: DAEMONS }, (_, daemon) => daemon);

/** Sends requests that the first server accepts, so that repeats are saved up, then ones that servers refuse. */
function playFrom(fleet: RetryBudgetFleet): void {
  for (let request = 0; request * REQUEST_GAP_MS < RUN_MS; request += 1) {
    const nowMs = request * REQUEST_GAP_MS;
    fleet.request(request, nowMs < HEALTHY_MS ? 0 : 4, nowMs);
  }
}

function assertWithinBound(fleet: RetryBudgetFleet, scenario: string): void {
  const { repeats, allowed } = worstWindow(fleet.observed, OPTIONS);
  assert.ok(repeats <= allowed, `${scenario}: ${repeats} repeats of ${allowed}`);
}

test('daemons with an incomplete list of daemons stay within the bound on repeats', () => {
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
    assertWithinBound(starting, `only a first list of ${listed}`);
  }
});
