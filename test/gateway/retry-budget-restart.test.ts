/**
 * Guards against exceeding the fleet's bound on repeats, `ratio` x requests + `slack` in any 10 s window, when all
 * daemons restart together. Engines refuse requests, so that repeats are wanted all the time; all processes are killed
 * at once and run again about a second later while the store is slow, so that requests arrive before a new incarnation
 * has read the list of daemons.
 *
 * In the fault, such an incarnation took its share of the slack as one of twelve daemons and began with a quarter of
 * that share, which no request had earned. 59 incarnations thus began with 155 repeats, nearly the whole slack of 158,
 * in addition to what the incarnations before them spent in the same window: servers counted 1,934 repeats of 1,906
 * allowed. Log event 6036 (`retryBudgetBegun`) of these incarnations had `daemons` 0 and a `cap` of 10.53 instead of
 * 1.43.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RetryBudgetFleet, type WorstWindow, worstWindow } from './support/retry-budget-fleet.js';

const RATIO = 0.2;
const REQUEST_GAP_MS = 2.5;
const DOWN_MS = 1_200;
const RUN_MS = 30_000;
/** Time between the first and the second read of the list of daemons. */
const READ_AGAIN_MS = 1_000;

interface Scenario {
  readonly daemons: number;
  readonly slack: number;
  readonly killsAtMs: readonly number[];
  /** Time from the start of an incarnation until it has read the list of daemons. */
  readonly listAfterMs: number;
}

/** Sends evenly distributed requests, all refused, to a fleet whose processes are killed together. */
function play({ daemons, slack, killsAtMs, listAfterMs }: Scenario): WorstWindow {
  const options = { ratio: RATIO, slack };
  const fleet = new RetryBudgetFleet(options, daemons);
  const everyDaemon = Array.from({ length: daemons }, (_, daemon) => daemon);
  for (const daemon of [...everyDaemon, ...everyDaemon]) fleet.readList(daemon, daemons);
  const restartsMs = killsAtMs.map((atMs) => atMs + DOWN_MS);
  const isDown = (nowMs: number) =>
    killsAtMs.some((atMs) => nowMs >= atMs && nowMs < atMs + DOWN_MS);
  const passed = (times: readonly number[], nowMs: number) =>
    times.some((atMs) => atMs > nowMs - REQUEST_GAP_MS && atMs <= nowMs);
  for (let request = 0; request * REQUEST_GAP_MS < RUN_MS; request += 1) {
    const nowMs = request * REQUEST_GAP_MS;
    if (passed(restartsMs, nowMs)) for (const daemon of everyDaemon) fleet.restart(daemon);
    const isListRead = passed(
      restartsMs.flatMap((atMs) => [atMs + listAfterMs, atMs + listAfterMs + READ_AGAIN_MS]),
      nowMs,
    );
    if (isListRead) for (const daemon of everyDaemon) fleet.readList(daemon, daemons);
    if (!isDown(nowMs)) fleet.request(request, 4, nowMs);
  }
  return worstWindow(fleet.observed, options);
}

test('daemons that restart together and have not read the list of daemons stay within the bound on repeats', () => {
  for (const [daemons, slack] of [
    [59, 158],
    [195, 430],
    [340, 750],
  ] as const) {
    for (const killsAtMs of [[12_000], [12_000, 17_000], [10_000, 13_000, 16_000]]) {
      for (const listAfterMs of [0, 100, 400, 1_000, 5_000]) {
        const { repeats, allowed } = play({ daemons, slack, killsAtMs, listAfterMs });
        const scenario = `${daemons} daemons, killed at ${killsAtMs} ms, list after ${listAfterMs} ms`;
        assert.ok(repeats <= allowed, `${scenario}: ${repeats} repeats of ${allowed}`);
      }
    }
  }
});
