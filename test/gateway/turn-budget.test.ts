/** Guards against turns of the event loop that last for as long as there are connections to read. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TurnBudget } from '../../src/shell/gateway/turn-budget.js';

const MORE_THAN_A_TURN_MS = 30;

test('a turn has time until it is used up, and the next one has time again', async () => {
  let nowMs = 0;
  const budget = new TurnBudget({ nowMs: () => nowMs });
  assert.equal(budget.hasTime, true);
  nowMs += MORE_THAN_A_TURN_MS;
  assert.equal(budget.hasTime, false);
  await new Promise(setImmediate);
  assert.equal(budget.hasTime, true);
});

test('connections that were deferred go on in the next turn, in their order', async () => {
  const budget = new TurnBudget({ nowMs: () => 0 });
  const wentOn: number[] = [];
  for (const connection of [1, 2, 3]) budget.defer(() => wentOn.push(connection));
  assert.equal(wentOn.length, 0);
  await new Promise(setImmediate);
  assert.equal(wentOn.join(), '1,2,3');
});

test('a connection that is deferred again as it goes on waits for the turn after', async () => {
  const budget = new TurnBudget({ nowMs: () => 0 });
  let turns = 0;
  const again = () => {
    turns += 1;
    if (turns < 3) budget.defer(again);
  };
  budget.defer(again);
  await new Promise(setImmediate);
  assert.equal(turns, 1);
  await new Promise(setImmediate);
  assert.equal(turns, 2);
});
