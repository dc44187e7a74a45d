import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { LogEvent } from '../../src/core/logging/log-event.js';
import { createLogger } from '../../src/shell/logging/index.js';

const INFO_EVENT: LogEvent = { number: 1999, level: 'info', message: 'happened', remedy: 'none' };

test('a line has the number of its event, and secrets and prompts in its fields are withheld', () => {
  const lines: string[] = [];
  const logger = createLogger({
    level: 'info',
    destination: { write: (line) => void lines.push(line) },
    writer: { daemon: 'd1', zone: 'z1' },
  });
  logger.write(INFO_EVENT, { apiKey: 'k-123', prompt: 'Leontodon', promptTokens: 7, address: 'x' });
  logger.write({ ...INFO_EVENT, level: 'debug' });
  assert.equal(lines.length, 1);
  const { time, ...line } = JSON.parse(lines[0] ?? '');
  assert.equal(typeof time, 'number');
  assert.deepEqual(line, {
    level: 'info',
    writer: { daemon: 'd1', zone: 'z1' },
    event: 1999,
    apiKey: '[withheld]',
    prompt: '[withheld]',
    promptTokens: 7,
    address: 'x',
    msg: 'happened',
  });
});

test("an event's fields never replace the fields of the line itself", () => {
  const lines: string[] = [];
  const logger = createLogger({
    level: 'info',
    destination: { write: (line) => void lines.push(line) },
    writer: { daemon: 'd1', zone: 'z1' },
  });
  logger.write(INFO_EVENT, { daemon: 'd2', zone: 'z2', event: 1, writer: 'peer', msg: 'other' });
  const text = lines[0] ?? '';
  for (const name of ['level', 'time', 'writer', 'event', 'msg']) {
    assert.equal(text.split(`"${name}":`).length, 2, name);
  }
  const line = JSON.parse(text);
  assert.deepEqual([line.writer.daemon, line.daemon, line.event], ['d1', 'd2', 1999]);
  assert.deepEqual([line.event_, line.writer_, line.msg_], [1, 'peer', 'other']);
});
