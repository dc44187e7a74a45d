import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type TestEvent, tap } from 'node:test/reporters';
import { joinRuns } from '../../scripts/joined-runs.js';

const FILE = '/dist/test/a.test.js';

function pass(name: string, testNumber: number, nesting = 0): TestEvent {
  const details = { duration_ms: 1 };
  return { type: 'test:pass', data: { name, testNumber, nesting, file: FILE, details } };
}

function note(message: string): TestEvent {
  return { type: 'test:diagnostic', data: { nesting: 0, message } };
}

/** A run of passed tests, ended as node:test ends one. */
async function* runOf(names: readonly string[], durationMs: number): AsyncGenerator<TestEvent> {
  for (const [index, name] of names.entries()) yield pass(name, index + 1);
  yield { type: 'test:plan', data: { nesting: 0, count: names.length } };
  yield note(`tests ${names.length}`);
  yield note(`pass ${names.length}`);
  yield note('fail 0');
  yield note(`duration_ms ${durationMs}`);
}

async function textOf(events: AsyncIterable<TestEvent>): Promise<string> {
  let text = '';
  for await (const part of tap(events as AsyncGenerator<TestEvent, void>)) text += part;
  return text;
}

test('joined runs have one plan, tests that are numbered through, and one summary with sums', async () => {
  const joined = joinRuns([() => runOf(['a', 'b'], 10.5), () => runOf(['c'], 2)]);
  const text = await textOf(joined);
  assert.deepEqual(text.match(/^ok \d+ - \w$/gm), ['ok 1 - a', 'ok 2 - b', 'ok 3 - c']);
  assert.deepEqual(text.match(/^1\.\.\d+$/gm), ['1..3']);
  assert.ok(text.endsWith('1..3\n# tests 3\n# pass 3\n# fail 0\n# duration_ms 12.5\n'), text);
});

test('a run starts when the one before has ended', async () => {
  const order: string[] = [];
  async function* recorded(name: string): AsyncGenerator<TestEvent> {
    order.push(`${name} starts`);
    yield* runOf([name], 1);
    order.push(`${name} ends`);
  }
  await textOf(joinRuns([() => recorded('first'), () => recorded('second')]));
  assert.deepEqual(order, ['first starts', 'first ends', 'second starts', 'second ends']);
});

test('plans, numbers and notes of inner tests and of files are forwarded as they are', async () => {
  async function* run(): AsyncGenerator<TestEvent> {
    yield pass('inner', 1, 1);
    yield { type: 'test:plan', data: { nesting: 1, count: 1 } };
    yield note('a note of a file');
    yield* runOf(['outer'], 1);
  }
  const text = await textOf(joinRuns([() => runOf(['a'], 1), run]));
  assert.match(text, /^ {4}ok 1 - inner$/m);
  assert.match(text, /^ {4}1\.\.1$/m);
  assert.match(text, /^# a note of a file$/m);
  assert.match(text, /^ok 2 - outer$/m);
});
